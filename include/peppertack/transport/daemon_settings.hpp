#pragma once

#include "peppertack/coordination/control_core.hpp"
#include "peppertack/coordination/node_options.hpp"
#include "peppertack/protocol/caller_mapping.hpp"
#include "peppertack/transport/json_log.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace peppertack {

/// Checked settings of one peppertackd. Each is a flag `--long-name` and an environment variable
/// `PEPPERTACK_LONG_NAME`; the flag wins.
struct daemon_settings {
    node_address peer_address; ///< IP:port for other processes of the system
    std::string http_address;  ///< IP:port for callers, the target and operators
    std::string failure_domain;
    std::vector<std::string> failure_domains; ///< of the deployment; empty: not known
    std::vector<node_address> voters;
    std::string data_folder; ///< empty: this process is no voter
    /// Losses of voters, disks included, to be borne at once. Above 0 the voters find each other
    /// and replace lost ones by spares; 0: `voters` says who they are, and operators change that.
    std::uint32_t losses = 0;
    /// The system starts for the first time: `voters` are the first members if this is one of them.
    bool founding = false;
    std::string cluster_secret;
    std::string operator_token; ///< empty: nothing can be changed through this process
    bool open_reading = true;   ///< reading endpoints need no token
    duration lease{};
    duration heartbeat{};
    duration election_timeout{};
    duration renew_interval{};
    mapping_limits limits;
    std::size_t largest_body = 0;
    std::size_t most_http_threads = 0;
    std::size_t most_call_threads = 0;
    unsigned int peer_threads = 0;
    std::int64_t key_retention_s = 0;
    std::size_t audit_segments = 0;
    log_level least_level = log_level::info;
};

/// One wrong setting.
struct settings_problem {
    std::string setting; ///< the flag's name without dashes
    std::string value;
    std::string allowed;
};

enum class settings_action : std::uint8_t { run, check, show_and_exit };

/// Reads flags and environment. Yields nothing and lists every problem if one is wrong. `text` is
/// what `--help` or `--version` print.
std::optional<daemon_settings> read_settings(int count, const char *const *values,
                                             settings_action &action, std::string &text,
                                             std::vector<settings_problem> &problems);

/// Options of the two parts, from the settings.
node_options node_options_of(const daemon_settings &settings, std::uint64_t incarnation);
control_options control_options_of(const daemon_settings &settings, std::uint64_t seed);

} // namespace peppertack
