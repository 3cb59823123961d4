#pragma once

#include "port_reservation.hpp"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <sys/types.h>
#include <vector>

namespace peppertack::testing {

/// Where one target and the node beside it belong.
struct cluster_place {
    std::string name;
    std::string service;
    std::string failure_domain;
};

struct cluster_options {
    std::vector<cluster_place> places;
    std::size_t voters = 3; ///< the first ones
    std::string table_csv;
    unsigned int work_us = 0; ///< time a target takes for each request
    unsigned int slots = 18;
    unsigned int connections = 120;
    bool checks_tokens = true;
    std::vector<std::string> extra_flags;
    std::vector<std::string> node_environment; ///< NAME=text
};

/// For `cluster_options::node_environment`: each sync takes so much longer, or a time drawn from
/// there up to `most`.
std::vector<std::string> slow_syncs(const std::string &programs, std::chrono::milliseconds least,
                                    std::chrono::milliseconds most);

/// For the environment of processes: from now on and for so long their disks stand still, for the
/// calls named by letters that tests/support/slow_disk.cpp lists.
std::vector<std::string> stalled_disk(const std::string &programs, const std::string &calls,
                                      std::chrono::milliseconds length);

/// Real processes of this project on loopback with ports of their own, for tests and benches. Ends
/// all of them when it goes.
class local_cluster {
public:
    /// Starts every node and target. `programs` is the folder of peppertackd and stand_in_target.
    local_cluster(std::string programs, cluster_options options);
    ~local_cluster();
    local_cluster(const local_cluster &) = delete;
    local_cluster &operator=(const local_cluster &) = delete;

    /// Applies the table and waits until every key has an owner. False if that does not happen.
    bool make_ready();
    std::size_t size() const { return m_options.places.size(); }
    const std::string &http_address(std::size_t place) const { return m_http[place]; }
    const std::string &target_address(std::size_t place) const { return m_target[place]; }
    const std::string &peer_address(std::size_t place) const { return m_peer[place]; }

    void signal_node(std::size_t place, int signal);
    void signal_target(std::size_t place, int signal);
    void start_node(std::size_t place);
    void start_target(std::size_t place);
    /// From its next start on, the node at this place has a data folder.
    void give_disk(std::size_t place) { m_disks.insert(place); }
    pid_t node_process(std::size_t place) const { return m_nodes[place]; }
    /// Waits for the process to end and yields its exit code, or nothing after `patience`.
    std::optional<int> wait_for_node(std::size_t place, std::chrono::milliseconds patience);

    nlohmann::json dump(std::size_t place) const;
    std::optional<std::size_t> leader() const;
    /// Place of the owner of a key, from a request's answer.
    std::optional<std::size_t> owner(const std::string &service, const std::string &key) const;
    std::vector<std::string> ledger(std::size_t place) const;
    std::string operator_token() const { return "test-operator-token"; }
    const std::string &folder() const { return m_folder; }

    static bool wait_until(std::chrono::milliseconds patience,
                           const std::function<bool()> &condition);

private:
    void end_all();

    std::string m_programs;
    cluster_options m_options;
    std::string m_folder;
    port_reservation m_reserved;
    std::vector<std::string> m_peer;
    std::vector<std::string> m_http;
    std::vector<std::string> m_target;
    std::set<std::size_t> m_disks;
    std::vector<pid_t> m_nodes;
    std::vector<pid_t> m_targets;
};

/// A port of 127.0.0.1 that no other process is given until this one ends. Listeners on it need
/// SO_REUSEADDR, see `port_reservation`. Not thread safe.
int free_port();

/// Resident memory of a process in kilobytes.
double resident_kb(pid_t process);

/// Three domains, as many targets a service as given, round robin.
cluster_options small_cluster(const std::map<std::string, std::size_t> &services);

} // namespace peppertack::testing
