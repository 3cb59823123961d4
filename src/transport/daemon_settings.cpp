#include "peppertack/transport/daemon_settings.hpp"

#include "peppertack/transport/version.hpp"

#include <array>
#include <asio/ip/address.hpp>
#include <charconv>
#include <cstdlib>
#include <cxxopts.hpp>
#include <map>

namespace peppertack {

namespace {

/// A voter that starts applies what its log holds behind the snapshot before it can lead, 2,500
/// entries in about a tenth of a second; 200 targets make so many in half a minute.
constexpr std::uint64_t entries_per_snapshot = 2'500;

struct setting_rule {
    const char *name;
    const char *fallback; ///< null: required
    const char *help;
};

constexpr std::array<setting_rule, 22> rules{{
    {"peer-address", nullptr, "IP:port on which other processes of the system reach this one"},
    {"http-address", nullptr, "IP:port for callers, the local target and operators"},
    {"failure-domain", nullptr, "failure domain of this instance"},
    {"voters", nullptr, "peer addresses of the voters, separated by commas"},
    {"losses", "0",
     "losses of voters to be borne at once; 0: voters are changed by operators only"},
    {"founding", "no", "the system starts for the first time, with empty disks"},
    {"cluster-secret", nullptr, "secret shared by all processes of the system"},
    {"data-folder", "", "folder for the state of a voter; empty on instances without a disk"},
    {"operator-token", "", "token for calls that change something; empty refuses them all"},
    {"open-reading", "yes", "reading endpoints need no token"},
    {"lease-ms", "800", "length of a target's lease"},
    {"heartbeat-ms", "60", "interval of the leader's heartbeats"},
    {"election-timeout-ms", "300", "shortest silence after which a voter stands for election"},
    {"renew-ms", "200", "interval at which a lease is renewed"},
    {"default-deadline-ms", "5000", "deadline of a request that names none"},
    {"longest-deadline-ms", "60000", "longest deadline a request may name"},
    {"largest-body-mb", "32", "largest body of a request"},
    {"http-threads", "1024", "most connections served at a time"},
    {"peer-threads", "2", "threads for traffic between nodes"},
    {"key-retention-s", "600", "how long idempotency keys are remembered"},
    {"audit-segments", "10000", "files of 20000 audit records kept"},
    {"log-level", "info", "least level that is logged"},
}};

std::string environment_name(const std::string &setting) {
    std::string name = "PEPPERTACK_";
    for (const char c : setting) {
        name += c == '-' ? '_' : static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
    }
    return name;
}

bool is_address(const std::string &value) {
    const std::size_t colon = value.rfind(':');
    if (colon == std::string::npos) {
        return false;
    }
    asio::error_code error;
    asio::ip::make_address(value.substr(0, colon), error);
    int port = 0;
    const char *end = value.data() + value.size();
    const auto [stop, fault] = std::from_chars(value.data() + colon + 1, end, port);
    return !error && fault == std::errc{} && stop == end && port > 0 && port <= 65535;
}

/// Reads values one by one and notes whatever is wrong with them.
class setting_reader {
public:
    setting_reader(std::map<std::string, std::string> values,
                   std::vector<settings_problem> &problems)
        : m_values(std::move(values)), m_problems(problems) {}

    std::string text(const char *name, std::size_t least, std::size_t most) {
        const std::string &value = m_values[name];
        if (value.size() < least || value.size() > most) {
            note(name, value,
                 std::to_string(least) + " to " + std::to_string(most) + " characters");
        }
        return value;
    }

    std::string address(const char *name) {
        const std::string &value = m_values[name];
        if (!is_address(value)) {
            note(name, value, "IP:port with a port from 1 to 65535");
        }
        return value;
    }

    std::vector<std::string> addresses(const char *name) {
        std::vector<std::string> result;
        std::string rest = m_values[name];
        while (!rest.empty()) {
            const std::size_t comma = rest.find(',');
            const std::string item = rest.substr(0, comma);
            if (!is_address(item)) {
                note(name, item, "IP:port, separated by commas");
            }
            result.push_back(item);
            rest = comma == std::string::npos ? "" : rest.substr(comma + 1);
        }
        if (result.empty()) {
            note(name, "", "at least one IP:port");
        }
        return result;
    }

    std::int64_t number(const char *name, std::int64_t least, std::int64_t most) {
        const std::string &value = m_values[name];
        std::int64_t result = 0;
        const char *end = value.data() + value.size();
        const auto [stop, fault] = std::from_chars(value.data(), end, result);
        if (fault != std::errc{} || stop != end || result < least || result > most) {
            note(name, value, std::to_string(least) + " to " + std::to_string(most));
        }
        return result;
    }

    std::size_t choice(const char *name, const std::vector<std::string> &allowed) {
        std::string list;
        for (std::size_t i = 0; i < allowed.size(); ++i) {
            if (m_values[name] == allowed[i]) {
                return i;
            }
            list += (i == 0 ? "" : ", ") + allowed[i];
        }
        note(name, m_values[name], list);
        return 0;
    }

    void note(const char *name, const std::string &value, const std::string &allowed) {
        m_problems.push_back({name, value, allowed});
    }

private:
    std::map<std::string, std::string> m_values;
    std::vector<settings_problem> &m_problems;
};

cxxopts::Options option_table() {
    cxxopts::Options options("peppertackd", "peppertack's process beside each target");
    auto add = options.add_options();
    for (const setting_rule &rule : rules) {
        std::string help = rule.help;
        if (rule.fallback == nullptr) {
            help += " (required)";
        } else if (*rule.fallback != '\0') {
            help += " (default " + std::string(rule.fallback) + ")";
        }
        add(rule.name, help, cxxopts::value<std::string>());
    }
    add("check", "check the settings and exit");
    add("help", "print this and exit");
    add("version", "print the version and exit");
    return options;
}

duration milliseconds(std::int64_t value) {
    return std::chrono::milliseconds(value);
}

daemon_settings read_all(setting_reader &in) {
    constexpr std::size_t most_text = 4096;
    daemon_settings settings;
    settings.peer_address = in.address("peer-address");
    settings.http_address = in.address("http-address");
    settings.failure_domain = in.text("failure-domain", 1, 64);
    settings.voters = in.addresses("voters");
    settings.cluster_secret = in.text("cluster-secret", 8, 1024);
    settings.data_folder = in.text("data-folder", 0, most_text);
    settings.losses = static_cast<std::uint32_t>(in.number("losses", 0, 3));
    settings.founding = in.choice("founding", {"no", "yes"}) == 1;
    settings.operator_token = in.text("operator-token", 0, 1024);
    settings.open_reading = in.choice("open-reading", {"no", "yes"}) == 1;
    settings.lease = milliseconds(in.number("lease-ms", 100, 60'000));
    settings.heartbeat = milliseconds(in.number("heartbeat-ms", 5, 10'000));
    settings.election_timeout = milliseconds(in.number("election-timeout-ms", 20, 60'000));
    settings.renew_interval = milliseconds(in.number("renew-ms", 10, 30'000));
    settings.limits.default_deadline = milliseconds(in.number("default-deadline-ms", 1, 600'000));
    settings.limits.longest_deadline = milliseconds(in.number("longest-deadline-ms", 1, 600'000));
    settings.largest_body = static_cast<std::size_t>(in.number("largest-body-mb", 1, 64)) << 20U;
    settings.most_http_threads = static_cast<std::size_t>(in.number("http-threads", 8, 20'000));
    settings.most_call_threads = 256;
    settings.peer_threads = static_cast<unsigned int>(in.number("peer-threads", 1, 64));
    settings.key_retention_s = in.number("key-retention-s", 1, 86'400);
    settings.audit_segments = static_cast<std::size_t>(in.number("audit-segments", 1, 1'000'000));
    settings.least_level =
        static_cast<log_level>(in.choice("log-level", {"info", "warning", "error"}));
    if (settings.renew_interval * 3 > settings.lease) {
        in.note("renew-ms", std::to_string(settings.renew_interval.count() / 1000),
                "at most a third of lease-ms, so that a lost renewal does not end the lease");
    }
    if (settings.heartbeat * 3 > settings.election_timeout) {
        in.note("heartbeat-ms", std::to_string(settings.heartbeat.count() / 1000),
                "at most a third of election-timeout-ms");
    }
    return settings;
}

} // namespace

std::optional<daemon_settings> read_settings(int count, const char *const *values,
                                             settings_action &action, std::string &text,
                                             std::vector<settings_problem> &problems) {
    problems.clear();
    cxxopts::Options options = option_table();
    std::map<std::string, std::string> given;
    try {
        const cxxopts::ParseResult parsed = options.parse(count, values);
        if (parsed.count("help") != 0 || parsed.count("version") != 0) {
            action = settings_action::show_and_exit;
            text = parsed.count("help") != 0
                       ? options.help() + "\nEach setting can also be given in the environment, "
                                          "such as PEPPERTACK_PEER_ADDRESS.\n"
                       : std::string("peppertackd ") + program_version + "\n";
            return std::nullopt;
        }
        action = parsed.count("check") != 0 ? settings_action::check : settings_action::run;
        for (const std::string &extra : parsed.unmatched()) {
            problems.push_back({extra, extra, "no arguments besides the settings"});
        }
        for (const setting_rule &rule : rules) {
            const char *environment = std::getenv(environment_name(rule.name).c_str());
            if (parsed.count(rule.name) != 0) {
                given[rule.name] = parsed[rule.name].as<std::string>();
            } else if (environment != nullptr) {
                given[rule.name] = environment;
            } else {
                given[rule.name] = rule.fallback == nullptr ? "" : rule.fallback;
            }
        }
    } catch (const cxxopts::exceptions::exception &error) {
        problems.push_back({"command line", error.what(), "the settings listed by --help"});
        return std::nullopt;
    }
    setting_reader reader(std::move(given), problems);
    daemon_settings settings = read_all(reader);
    return problems.empty() ? std::optional(std::move(settings)) : std::nullopt;
}

node_options node_options_of(const daemon_settings &settings, std::uint64_t incarnation) {
    node_options options;
    options.self = settings.peer_address;
    options.failure_domain = settings.failure_domain;
    options.incarnation = incarnation;
    options.voters = settings.voters;
    options.lease.length = settings.lease;
    options.renew_interval = settings.renew_interval;
    options.renew_timeout = settings.renew_interval * 3 / 4;
    options.memory.retention_ms = settings.key_retention_s * 1000;
    options.seed = incarnation;
    return options;
}

control_options control_options_of(const daemon_settings &settings, std::uint64_t seed) {
    control_options options;
    options.replication.self = settings.peer_address;
    if (settings.losses == 0) {
        options.replication.initial.voters = {settings.voters.begin(), settings.voters.end()};
    } else {
        options.roster.desired_voters = 2 * static_cast<std::size_t>(settings.losses) + 1;
        options.roster.contacts = settings.voters;
        options.balance_interval = std::chrono::milliseconds(500);
        options.placement.max_concurrent_moves = 6;
        options.entries_per_snapshot = entries_per_snapshot;
    }
    options.replication.election_timeout = settings.election_timeout;
    options.replication.heartbeat_interval = settings.heartbeat;
    options.replication.seed = seed;
    options.lease.length = settings.lease;
    options.failure_domains = settings.failure_domains;
    options.key_retention = std::chrono::seconds(settings.key_retention_s);
    return options;
}

} // namespace peppertack
