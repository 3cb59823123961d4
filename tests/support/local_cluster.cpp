#include "local_cluster.hpp"

#include "child_process.hpp"
#include "failure_report.hpp"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <httplib.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace peppertack::testing {

namespace {

constexpr auto poll_interval = std::chrono::milliseconds(10);
constexpr auto ready_patience = std::chrono::seconds(30);
constexpr std::size_t ports_per_place = 3; ///< for peers, for HTTP and for the target
/// With this variable set the folder with the logs of all processes stays, so that a failure which
/// shows once in many runs can be read afterwards. CI doesn't set it.
constexpr const char *keep_folder_variable = "PEPPERTACK_KEEP_FOLDERS";

httplib::Client client_for(const std::string &address) {
    httplib::Client client("http://" + address);
    client.set_connection_timeout(std::chrono::milliseconds(500));
    client.set_read_timeout(std::chrono::seconds(6));
    return client;
}

} // namespace

local_cluster::local_cluster(std::string programs, cluster_options options)
    : m_programs(std::move(programs)), m_options(std::move(options)),
      m_reserved(size() * ports_per_place) {
    static int number = 0;
    m_folder =
        std::filesystem::temp_directory_path() /
        ("peppertack-cluster-" + std::to_string(::getpid()) + "-" + std::to_string(++number));
    std::filesystem::create_directories(m_folder);
    const std::vector<int> &ports = m_reserved.ports();
    for (std::size_t i = 0; i < size(); ++i) {
        m_peer.push_back("127.0.0.1:" + std::to_string(ports[i * ports_per_place]));
        m_http.push_back("127.0.0.1:" + std::to_string(ports[i * ports_per_place + 1]));
        m_target.push_back("127.0.0.1:" + std::to_string(ports[i * ports_per_place + 2]));
    }
    m_nodes.assign(size(), -1);
    m_targets.assign(size(), -1);
    for (std::size_t i = 0; i < size(); ++i) {
        start_node(i);
        start_target(i);
    }
}

local_cluster::~local_cluster() {
    end_all();
    if (case_failed()) {
        report_failure(m_folder);
    }
    if (case_failed() || std::getenv(keep_folder_variable) != nullptr) {
        return;
    }
    std::error_code ignored;
    std::filesystem::remove_all(m_folder, ignored);
}

void local_cluster::end_all() {
    for (std::vector<pid_t> *list : {&m_targets, &m_nodes}) {
        for (pid_t &process : *list) {
            if (process > 0) {
                ::kill(process, SIGKILL);
                ::waitpid(process, nullptr, 0);
                process = -1;
            }
        }
    }
}

std::vector<std::string> slow_syncs(const std::string &programs, std::chrono::milliseconds least,
                                    std::chrono::milliseconds most) {
    return {"LD_PRELOAD=" + programs + "/libslow_disk.so",
            "PEPPERTACK_SYNC_MS=" + std::to_string(least.count()),
            "PEPPERTACK_SYNC_MOST_MS=" + std::to_string(most.count())};
}

std::vector<std::string> stalled_disk(const std::string &programs, const std::string &calls,
                                      std::chrono::milliseconds length) {
    const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
    return {"LD_PRELOAD=" + programs + "/libslow_disk.so", "PEPPERTACK_STALL_CALLS=" + calls,
            "PEPPERTACK_STALL_AT_MS=" + std::to_string(now.count()),
            "PEPPERTACK_STALL_FOR_MS=" + std::to_string(length.count())};
}

void local_cluster::start_node(std::size_t place) {
    std::string voters;
    for (std::size_t i = 0; i < m_options.voters; ++i) {
        voters += (i == 0 ? "" : ",") + m_peer[i];
    }
    std::vector<std::string> words{m_programs + "/peppertackd",
                                   "--peer-address",
                                   m_peer[place],
                                   "--http-address",
                                   m_http[place],
                                   "--failure-domain",
                                   m_options.places[place].failure_domain,
                                   "--voters",
                                   voters,
                                   "--cluster-secret",
                                   "test-cluster-secret",
                                   "--operator-token",
                                   operator_token()};
    if (place < m_options.voters || m_disks.count(place) != 0) {
        words.insert(words.end(), {"--data-folder", m_folder + "/voter-" + std::to_string(place)});
    }
    words.insert(words.end(), m_options.extra_flags.begin(), m_options.extra_flags.end());
    m_nodes[place] = start_child({.words = words,
                                  .log_file = m_folder + "/node-" + std::to_string(place) + ".log",
                                  .environment = m_options.node_environment});
}

void local_cluster::start_target(std::size_t place) {
    const cluster_place &where = m_options.places[place];
    const std::vector<std::string> words{m_programs + "/stand_in_target",
                                         "--address",
                                         m_target[place],
                                         "--node",
                                         m_http[place],
                                         "--name",
                                         where.name,
                                         "--service",
                                         where.service,
                                         "--ledger",
                                         m_folder + "/ledger-" + std::to_string(place),
                                         "--work-us",
                                         std::to_string(m_options.work_us),
                                         "--slots",
                                         std::to_string(m_options.slots),
                                         "--connections",
                                         std::to_string(m_options.connections),
                                         std::string("--checks-tokens=") +
                                             (m_options.checks_tokens ? "true" : "false")};
    m_targets[place] = start_child(
        {.words = words, .log_file = m_folder + "/target-" + std::to_string(place) + ".log"});
}

void local_cluster::signal_node(std::size_t place, int signal) {
    ::kill(m_nodes[place], signal);
    if (signal == SIGKILL) {
        ::waitpid(m_nodes[place], nullptr, 0);
        m_nodes[place] = -1;
    }
}

void local_cluster::signal_target(std::size_t place, int signal) {
    ::kill(m_targets[place], signal);
    if (signal == SIGKILL) {
        ::waitpid(m_targets[place], nullptr, 0);
        m_targets[place] = -1;
    }
}

std::optional<int> local_cluster::wait_for_node(std::size_t place,
                                                std::chrono::milliseconds patience) {
    int status = 0;
    const bool ended = wait_until(
        patience, [&] { return ::waitpid(m_nodes[place], &status, WNOHANG) == m_nodes[place]; });
    if (!ended) {
        return std::nullopt;
    }
    m_nodes[place] = -1;
    return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
}

bool local_cluster::wait_until(std::chrono::milliseconds patience,
                               const std::function<bool()> &condition) {
    const auto until = std::chrono::steady_clock::now() + patience;
    while (std::chrono::steady_clock::now() < until) {
        if (condition()) {
            return true;
        }
        std::this_thread::sleep_for(poll_interval);
    }
    return condition();
}

nlohmann::json local_cluster::dump(std::size_t place) const {
    const httplib::Result answer = client_for(m_http[place]).Get("/dump");
    return answer ? nlohmann::json::parse(answer->body, nullptr, false)
                  : nlohmann::json(
                        {{"node", nlohmann::json::object()}, {"peers", nlohmann::json::object()}});
}

std::optional<std::size_t> local_cluster::leader() const {
    for (std::size_t i = 0; i < size(); ++i) {
        const bool voter = i < m_options.voters || m_disks.count(i) != 0;
        if (m_nodes[i] <= 0 || !voter) {
            continue;
        }
        const nlohmann::json json = dump(i);
        if (json.is_object() && json.contains("control") &&
            json["control"].value("role", "") == "leader") {
            return i;
        }
    }
    return std::nullopt;
}

bool local_cluster::make_ready() {
    if (!wait_until(ready_patience, [&] { return leader().has_value(); })) {
        return false;
    }
    const bool applied = wait_until(ready_patience, [&] {
        const std::optional<std::size_t> at = leader();
        if (!at) {
            return false;
        }
        httplib::Client client = client_for(m_http[*at]);
        const httplib::Result answer = client.Post(
            "/v1/table?base_version=0&change_id=first",
            {{"Authorization", "Bearer " + operator_token()}}, m_options.table_csv, "text/csv");
        return answer && answer->status == 200;
    });
    return applied && wait_until(ready_patience, [&] {
               const std::optional<std::size_t> at = leader();
               if (!at) {
                   return false;
               }
               const nlohmann::json control = dump(*at)["control"];
               // A voter whose control thread waits for its disk tells nothing of its state.
               if (!control.is_object() || !control.contains("targets") ||
                   !control.contains("services") || control["targets"].size() < size()) {
                   return false;
               }
               for (const nlohmann::json &service : control["services"]) {
                   if (service.value("without_owner", 1) != 0 || service.value("moving", 1) != 0) {
                       return false;
                   }
               }
               for (const nlohmann::json &target : control["targets"]) {
                   if (target.value("ranges", 0) == 0 || !target.value("standby_ready", false)) {
                       return false;
                   }
               }
               return !control["services"].empty();
           });
}

std::optional<std::size_t> local_cluster::owner(const std::string &service,
                                                const std::string &key) const {
    for (std::size_t i = 0; i < size(); ++i) {
        if (m_nodes[i] <= 0) {
            continue;
        }
        const httplib::Result answer =
            client_for(m_http[i]).Get(("/s/" + service + "/k/" + key).c_str());
        if (!answer || answer->status != 200) {
            continue;
        }
        const std::string name = answer->get_header_value("Peppertack-Owner");
        for (std::size_t place = 0; place < size(); ++place) {
            if (m_options.places[place].name == name) {
                return place;
            }
        }
    }
    return std::nullopt;
}

std::vector<std::string> local_cluster::ledger(std::size_t place) const {
    std::ifstream in(m_folder + "/ledger-" + std::to_string(place));
    std::vector<std::string> lines;
    std::string line;
    while (std::getline(in, line)) {
        lines.push_back(line);
    }
    return lines;
}

int free_port() {
    static std::vector<port_reservation> reserved;
    reserved.emplace_back(1);
    return reserved.back().ports().front();
}

double resident_kb(pid_t process) {
    std::ifstream in("/proc/" + std::to_string(process) + "/status");
    std::string word;
    while (in >> word) {
        if (word == "VmRSS:") {
            double value = 0;
            in >> value;
            return value;
        }
    }
    return 0;
}

cluster_options small_cluster(const std::map<std::string, std::size_t> &services) {
    cluster_options options;
    options.table_csv = "service,failure_domain,weight,max_in_flight,max_connections,max_queue\n";
    std::size_t number = 0;
    for (const auto &[service, count] : services) {
        for (std::size_t i = 0; i < count; ++i) {
            options.places.push_back({service + "-" + std::to_string(i + 1), service,
                                      "zone-" + std::to_string(number++ % 3)});
        }
        for (int zone = 0; zone < 3; ++zone) {
            options.table_csv += service + ",zone-" + std::to_string(zone) + ",1,18,120,200\n";
        }
    }
    return options;
}

} // namespace peppertack::testing
