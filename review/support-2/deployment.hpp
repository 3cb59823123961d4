#pragma once

#include "peppertack/state/time.hpp"
#include "peppertack/transport/http/http_client_pool.hpp"
#include "peppertack/transport/http/http_server.hpp"

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <sys/types.h>
#include <vector>

/// A small deployment on loopback: the project's own programs as processes, with stand-ins for the
/// servers, the clients, the operator and the platform in this process. Everything here runs on one
/// thread.
namespace review {

using steady = std::chrono::steady_clock;
using ms = std::chrono::milliseconds;

class deployment;

struct options {
    std::string program;               ///< path of peppertack_platform
    std::string folder;                ///< for settings, logs and disks; empty at first
    std::string record;                ///< path of the file with what was sent, answered and run
    std::vector<std::string> services; ///< one machine with one server each
    std::size_t voters = 5;
    unsigned int losses = 2;
    double heartbeat_s = 1.5;
    unsigned int slots = 13;
    double timeout_s = 1.5; ///< of all routes
};

/// Keys that a server holds, and until when.
struct held_row {
    std::uint32_t from = 0;
    std::uint32_t to = 0;
    std::uint64_t fence = 0;
    steady::time_point until;
};

/// A server as PROTOCOL.md describes it: it sends heartbeats, holds the keys that their answers
/// give it, runs requests for these and no others, and drops a request whose connection closes.
class server {
public:
    server(deployment &owner, std::size_t place);

    /// Begins a life under a new id, at the same address.
    void start();
    /// Sends no more heartbeats; deletes itself until that is acknowledged, and serves on.
    void leave();
    /// Ends at once, with all connections.
    void crash();
    bool up() const { return m_http != nullptr; }
    bool leave_acknowledged() const { return m_leave_acknowledged; }
    const std::string &id() const { return m_id; }
    const std::string &service() const { return m_service; }
    std::vector<held_row> holds() const;
    bool at_work_on(std::uint32_t from, std::uint32_t to) const;
    bool at_work(const std::string &request) const { return m_running.count(request) != 0; }
    /// Answers that have begun and are not whole.
    std::size_t answers_under_way() const { return m_streams; }
    /// Whether it began to run the request, in this life.
    bool has_run(const std::string &request) const { return m_begun.count(request) != 0; }
    /// Heartbeats whose answer came in time.
    std::uint64_t acknowledged() const { return m_acknowledged; }
    steady::time_point acknowledged_at() const { return m_acknowledged_at; }
    nlohmann::json heartbeat() const;

private:
    class request;
    friend class request;
    struct run {
        std::uint32_t key = 0;
        bool keyed = false;
    };

    void beat();
    void beat_in(ms pause);
    void send_delete();
    void take_grant(const std::string &body, steady::time_point sent);
    void take(const std::shared_ptr<peppertack::http_exchange> &caller);
    void finish(const std::shared_ptr<peppertack::http_exchange> &caller, const std::string &id,
                std::vector<peppertack::header_field> headers);
    struct stream;
    void send_piece(const std::shared_ptr<stream> &answer);
    bool holds_key(std::uint32_t key) const;

    deployment &m_owner;
    std::size_t m_place;
    std::string m_id;
    std::string m_service;
    int m_lives = 0;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_acknowledged = 0;
    steady::time_point m_acknowledged_at;
    bool m_leaving = false;
    bool m_leave_acknowledged = false;
    std::vector<held_row> m_holds;
    nlohmann::json m_freed = nlohmann::json::array();
    std::map<std::string, run> m_running;
    std::set<std::string> m_begun;
    std::size_t m_streams = 0;
    std::unique_ptr<peppertack::http_server> m_http;
    asio::steady_timer m_beat_timer;
};

/// A request of a client and its answer. `status`: 0 while there is none, -1 if the connection
/// ended without one.
struct client_request {
    std::string id;
    int status = 0;
};

/// Answer on a raw connection, as far as it has come.
struct raw_answer {
    int status = 0;
    std::string id;
    bool whole = false;
};

/// A client's connection that sends requests of its own making and may stop reading.
class raw_client : public std::enable_shared_from_this<raw_client> {
public:
    raw_client(asio::io_context &io, const std::string &address);
    void write(const std::string &bytes);
    void read(bool on);
    /// Whether the other side has closed or reset the connection.
    bool ended() const { return m_ended; }
    /// Answers in their order.
    std::vector<raw_answer> answers() const;
    std::size_t received() const { return m_received.size(); }

private:
    void read_some();

    asio::ip::tcp::socket m_socket;
    std::array<char, 65536> m_buffer{};
    std::string m_received;
    bool m_on = false;
    bool m_waiting = false;
    bool m_ended = false;
};

class deployment {
public:
    explicit deployment(options settings);
    ~deployment();
    deployment(const deployment &) = delete;
    deployment &operator=(const deployment &) = delete;

    /// Starts all processes and servers, puts a configuration into force and waits until each key
    /// is held and each service is served. False if that takes longer than 30 s.
    bool bring_up();
    bool run_until(const std::function<bool()> &condition, ms patience);
    void run_for(ms time);

    void start_node(std::size_t place);
    void signal_node(std::size_t place, int number);
    /// Whether the process has ended.
    bool node_ended(std::size_t place);
    /// Asks the node whether it is ready, and waits for the answer.
    bool node_ready(std::size_t place);

    server &server_at(std::size_t place) { return *m_servers[place]; }
    std::size_t machines() const { return m_options.services.size(); }
    const options &settings() const { return m_options; }
    /// Sends a request to the node of a machine; `work` is how long a server works on it.
    std::shared_ptr<client_request> send(std::size_t place, const std::string &service, bool safe,
                                         std::uint32_t key, ms work, ms deadline);
    /// Bytes of a request for a raw connection, and its id.
    std::pair<std::string, std::string> request_bytes(const std::string &service,
                                                      const std::string &type,
                                                      const std::string &path, ms deadline);
    /// Sends bytes to the control address of a machine, as its server does.
    void tell_node(std::size_t place, const std::string &method, const std::string &id,
                   const std::string &body, std::function<void(int, const std::string &)> done);

    /// A line of the record, with the time since the start.
    void note(const std::string &line);
    void violate(const std::string &what);
    /// Descriptions of what broke the rule.
    const std::vector<std::string> &violations() const { return m_violations; }

    asio::io_context &io() { return m_io; }
    std::string node_address(std::size_t place, const char *use) const;
    /// A server has taken rows of keys; judges OWNER.
    void judge_take(const server &by, const held_row &row);

private:
    struct call_result;
    void call(const std::string &address, peppertack::http_head head, const std::string &body,
              ms patience, std::function<void(int, const std::string &)> done);
    std::pair<int, std::string> ask(const std::string &address, peppertack::http_head head,
                                    const std::string &body, ms patience);
    bool configure();
    bool all_keys_held() const;
    std::string voter_address(std::size_t place, const char *use) const;
    std::string settings_text(const std::string &ip, std::size_t zone, const std::string &service,
                              const std::string &data, bool first) const;
    pid_t spawn(const std::string &role, const std::string &name, const std::string &text) const;

    options m_options;
    asio::io_context m_io;
    steady::time_point m_begun = steady::now();
    std::ofstream m_record;
    std::map<std::string, int> m_ports;
    int m_network = 0; ///< second number of the loopback addresses
    peppertack::http_client_pool m_pool;
    std::vector<pid_t> m_voters;
    std::vector<pid_t> m_nodes;
    std::vector<std::unique_ptr<server>> m_servers;
    std::vector<std::string> m_violations;
    std::map<std::uint32_t, std::uint64_t> m_fences; ///< highest that servers had, by sampled key
    std::uint64_t m_last_id = 0;
};

/// Whether the disruption is to be played: the environment has no TROUBLE=0.
bool with_trouble();
/// Exit status for a case: 2 if it could not run, 1 if the rule was broken, 0 if it held.
int verdict(deployment &played, bool could_run);
/// Options from the words of a command line: program, folder, record.
options options_from(int count, char **words);

} // namespace review
