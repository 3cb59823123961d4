#include "deployment.hpp"

#include <array>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <iomanip>
#include <random>
#include <sstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace review {

namespace {

constexpr std::size_t voters = 5;
constexpr std::size_t seeds = 3;
constexpr const char *program = "target/peppertack_platform";
constexpr const char *settings_template = "platform/settings.template";
constexpr auto configure_patience = std::chrono::seconds(20);
constexpr auto call_patience = std::chrono::seconds(1);
constexpr int redirections = 3;

std::string read_file(const std::string &path) {
    std::ifstream in(path);
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

/// Fills in the placeholders that the template has.
std::string fill(std::string text, const std::map<std::string, std::string> &values) {
    for (std::size_t at = text.find("{{"); at != std::string::npos; at = text.find("{{", at)) {
        const std::size_t end = text.find("}}", at);
        const auto value = values.find(text.substr(at + 2, end - at - 2));
        text.replace(at, end + 2 - at, value == values.end() ? std::string() : value->second);
    }
    return text;
}

} // namespace

bool with_trouble() {
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

nlohmann::json sharded_config() {
    const nlohmann::json route{
        {"host", "tracker.example"}, {"path_prefix", "/t/"},    {"type", "safe"},
        {"timeout_s", 2.0},          {"target_latency_s", 1.0}, {"priority", 1},
        {"service", "tracker"},      {"max_attempts", 2}};
    return {{"version", "00000001"},
            {"base_version", 0},
            {"routes", {{"r-tracker", route}}},
            {"services",
             {{"tracker",
               {{"health_path", "/healthz"},
                {"max_connections", 200},
                {"protocol", "h1"},
                {"tls", false},
                {"sharded", true},
                {"warm_s", 5.0},
                {"grants", "rpc"}}}}},
            {"limits",
             {{"max_header_bytes", 16384},
              {"max_body_bytes", 67108864},
              {"header_timeout_s", 3},
              {"idle_timeout_s", 15}}}};
}

void record::note(const std::string &line) {
    const std::lock_guard lock(m_mutex);
    const std::chrono::duration<double> passed = clock_type::now() - m_begun;
    m_out << std::fixed << std::setprecision(4) << passed.count() << " " << line << std::endl;
}

deployment::deployment(std::vector<std::string> services, options settings)
    : m_services(std::move(services)), m_options(std::move(settings)) {
    std::string pattern =
        (std::filesystem::temp_directory_path() / "peppertack-review-XXXXXX").string();
    if (::mkdtemp(pattern.data()) != nullptr) {
        m_folder = pattern;
    }
}

deployment::~deployment() {
    for (const pid_t process : m_processes) {
        ::kill(process, SIGKILL);
        ::waitpid(process, nullptr, 0);
    }
    std::error_code ignored;
    if (!m_folder.empty() && std::getenv("KEEP_LOGS") == nullptr) {
        std::filesystem::remove_all(m_folder, ignored);
    }
}

std::string deployment::voter_ip(std::size_t place) const {
    return "127." + std::to_string(1 + ::getpid() % 200) + ".1." + std::to_string(place + 1);
}

std::string deployment::node_ip(std::size_t machine) const {
    return "127." + std::to_string(1 + ::getpid() % 200) + ".2." + std::to_string(machine + 1);
}

/// Ports are the same on all machines.
bool deployment::choose_ports() {
    std::mt19937 random(std::random_device{}());
    std::uniform_int_distribution<int> draw(20000, 30000);
    for (const char *use : {"peer", "metrics", "ctl", "out", "in", "ready", "app"}) {
        for (int tries = 0; tries < 100 && m_ports.count(use) == 0; ++tries) {
            const int port = draw(random);
            bool free = true;
            for (std::size_t i = 0; i < voters + machines() && free; ++i) {
                const std::string ip = i < voters ? voter_ip(i) : node_ip(i - voters);
                const int handle = listen_on({ip, port});
                free = handle >= 0;
                if (free) {
                    ::close(handle);
                }
            }
            for (const auto &[other, taken] : m_ports) {
                free = free && taken != port;
            }
            if (free) {
                m_ports[use] = port;
            }
        }
        if (m_ports.count(use) == 0) {
            return false;
        }
    }
    return true;
}

std::string deployment::settings_of(const std::string &ip, const std::string &zone,
                                    const std::string &service, const std::string &data) const {
    const auto at = [&](const char *use) { return endpoint{ip, m_ports.at(use)}.text(); };
    std::string seed_list;
    for (std::size_t i = 0; i < seeds; ++i) {
        seed_list += (i == 0 ? "" : ",") + endpoint{voter_ip(i), m_ports.at("ctl")}.text();
    }
    std::ostringstream heartbeat;
    heartbeat << m_options.heartbeat_s;
    return fill(read_file(settings_template),
                {{"ip", ip},
                 {"internal_ports.0", std::to_string(m_ports.at("peer"))},
                 {"internal_ports.1", std::to_string(m_ports.at("metrics"))},
                 {"zone", zone},
                 {"zones", R"({"zone-0":"region","zone-1":"region","zone-2":"region"})"},
                 {"service", service},
                 {"app", service.empty() ? std::string() : at("app")},
                 {"listen.outbound", service.empty() ? std::string() : at("out")},
                 {"listen.inbound", service.empty() ? std::string() : at("in")},
                 {"listen.ready", service.empty() ? std::string() : at("ready")},
                 {"listen.control", at("ctl")},
                 {"seeds", seed_list},
                 {"data_dir", data},
                 {"bootstrap", "true"},
                 {"fault_tolerance.machines", "2"},
                 {"bounds.budget_ratio", "0.2"},
                 {"bounds.budget_slack", "60"},
                 {"bounds.max_hold_s", "10"},
                 {"bounds.grace_s", "6"},
                 {"limits.link_mbps", "1000"},
                 {"heartbeat_interval_s", heartbeat.str()},
                 {"grants", m_options.grants}});
}

bool deployment::spawn(const std::string &role, const std::string &name,
                       const std::string &settings) {
    const std::string path = m_folder + "/" + name + ".conf";
    const std::string log = m_folder + "/" + name + ".log";
    std::ofstream(path) << settings;
    const std::string variable = "PEPPERTACK_BOOT=" + path;
    const pid_t process = ::fork();
    if (process == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL); // also if this program is ended from outside
        const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0640);
        ::dup2(out, STDOUT_FILENO);
        ::dup2(out, STDERR_FILENO);
        std::array<char *, 3> words{const_cast<char *>(program), const_cast<char *>(role.c_str()),
                                    nullptr};
        std::array<char *, 2> environment{const_cast<char *>(variable.c_str()), nullptr};
        ::execve(program, words.data(), environment.data());
        ::_exit(exit_not_run);
    }
    if (process > 0) {
        m_processes.push_back(process);
    }
    return process > 0;
}

bool deployment::start() {
    if (m_folder.empty() || !choose_ports()) {
        return false;
    }
    bool good = true;
    for (std::size_t i = 0; i < voters; ++i) {
        const std::string name = "voter-" + std::to_string(i);
        const std::string data = m_folder + "/" + name;
        good = good && spawn("voter", name, settings_of(voter_ip(i), zone(i), "", data));
    }
    for (std::size_t i = 0; i < machines(); ++i) {
        good = good && spawn("beside-target", "node-" + std::to_string(i),
                             settings_of(node_ip(i), zone(i), m_services[i], ""));
    }
    return good;
}

bool deployment::configure(const nlohmann::json &config) {
    const instant limit = clock_type::now() + configure_patience;
    for (std::size_t i = 0; clock_type::now() < limit; ++i) {
        endpoint to{voter_ip(i % voters), m_ports.at("ctl")};
        for (int hops = 0; hops < redirections; ++hops) {
            const auto answer = call(to, "PUT /peppertack/config HTTP/1.1",
                                     {{"Host", to.text()}, {"Content-Type", "application/json"}},
                                     config.dump(), call_patience);
            if (answer && answer->status() == 200) {
                return true;
            }
            const std::string *location = answer ? answer->find("location") : nullptr;
            if (location == nullptr) {
                break;
            }
            const std::string rest = location->substr(location->find("//") + 2);
            to.ip = rest.substr(0, rest.find(':'));
        }
        std::this_thread::sleep_for(milliseconds(100));
    }
    return false;
}

bool deployment::all_run() const {
    for (const pid_t process : m_processes) {
        if (::waitpid(process, nullptr, WNOHANG) != 0) {
            return false;
        }
    }
    return true;
}

} // namespace review
