#include "bench_report.hpp"
#include "local_cluster.hpp"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <cxxopts.hpp>
#include <fstream>
#include <httplib.h>
#include <iostream>
#include <sstream>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

// Benches with real processes on loopback. Everything is bounded in count and time.

using namespace peppertack::bench;
using namespace peppertack::testing;
using namespace std::chrono_literals;
using steady = std::chrono::steady_clock;

namespace {

struct settings {
    std::string programs;
    std::string csv;
    double seconds = 2;
    int repeats = 30;
    unsigned int nodes = 100;
    unsigned int renew_ms = 200;
};

double seconds_since(steady::time_point began) {
    return std::chrono::duration<double>(steady::now() - began).count();
}

/// User and system time of a process in seconds.
double process_cpu_s(pid_t process) {
    std::ifstream in("/proc/" + std::to_string(process) + "/stat");
    std::string text((std::istreambuf_iterator<char>(in)), {});
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    std::string skipped;
    for (int i = 0; i < 11; ++i) {
        fields >> skipped;
    }
    double user = 0;
    double system = 0;
    fields >> user >> system;
    return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

struct load_result {
    double rate = 0;
    double p50_us = 0;
    double p99_us = 0;
    std::size_t failures = 0;
    std::size_t requests = 0;
};

load_result load(const std::string &address, const std::string &path, unsigned int connections,
                 double seconds) {
    std::vector<std::vector<double>> took(connections);
    std::atomic<std::size_t> failures{0};
    std::atomic<bool> stop{false};
    std::vector<std::thread> threads;
    const auto began = steady::now();
    for (unsigned int i = 0; i < connections; ++i) {
        threads.emplace_back([&, i] {
            httplib::Client client("http://" + address);
            client.set_keep_alive(true);
            client.set_tcp_nodelay(true);
            client.set_read_timeout(10s);
            while (!stop) {
                const auto sent = steady::now();
                const httplib::Result answer = client.Get(path.c_str());
                if (!answer || answer->status != 200) {
                    ++failures;
                }
                took[i].push_back(seconds_since(sent) * 1e6);
            }
        });
    }
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
    stop = true;
    for (std::thread &thread : threads) {
        thread.join();
    }
    std::vector<double> all;
    for (const std::vector<double> &part : took) {
        all.insert(all.end(), part.begin(), part.end());
    }
    return {static_cast<double>(all.size()) / seconds_since(began), quantile(all, 0.5),
            quantile(all, 0.99), failures, all.size()};
}

/// Child process of the bench, ended with it.
class child {
public:
    explicit child(const std::vector<std::string> &words) {
        m_process = ::fork();
        if (m_process == 0) {
            std::vector<char *> pointers;
            pointers.reserve(words.size() + 1);
            for (const std::string &word : words) {
                pointers.push_back(const_cast<char *>(word.c_str()));
            }
            pointers.push_back(nullptr);
            ::execv(pointers[0], pointers.data());
            ::_exit(127);
        }
    }
    ~child() {
        ::kill(m_process, SIGKILL);
        ::waitpid(m_process, nullptr, 0);
    }
    pid_t id() const { return m_process; }

private:
    pid_t m_process = -1;
};

struct way {
    std::string name;
    std::string address;
    std::vector<pid_t> hops;
};

void measure_ways(report &out, const std::vector<way> &ways, const std::string &path,
                  unsigned int connections, double seconds, const std::string &suffix) {
    std::vector<load_result> results;
    std::vector<double> cpu_us;
    for (const way &one : ways) {
        double before = 0;
        for (const pid_t hop : one.hops) {
            before += process_cpu_s(hop);
        }
        results.push_back(load(one.address, path, connections, seconds));
        double after = 0;
        for (const pid_t hop : one.hops) {
            after += process_cpu_s(hop);
        }
        const double hops = std::max<double>(1, static_cast<double>(one.hops.size()));
        cpu_us.push_back((after - before) * 1e6 /
                         static_cast<double>(std::max<std::size_t>(1, results.back().requests)) /
                         hops);
    }
    for (std::size_t i = 0; i < ways.size(); ++i) {
        const std::string name =
            std::to_string(connections) + " connections" + suffix + ", " + ways[i].name + ": ";
        out.add("end-to-end", name + "requests", results[i].rate, "1/s");
        out.add("end-to-end", name + "p50", results[i].p50_us, "us");
        out.add("end-to-end", name + "p99", results[i].p99_us, "us");
        out.add("end-to-end", name + "CPU a hop", cpu_us[i], "us");
        out.add("end-to-end", name + "failures", static_cast<double>(results[i].failures), "");
        out.add("end-to-end", name + "p50 / bare proxy", results[i].p50_us / results[1].p50_us, "");
        out.add("end-to-end", name + "p99 / bare proxy", results[i].p99_us / results[1].p99_us, "");
    }
}

void bench_end_to_end(report &out, const settings &with) {
    cluster_options options = small_cluster({{"emision", 3}});
    for (std::size_t at = options.table_csv.find(",18,"); at != std::string::npos;
         at = options.table_csv.find(",18,", at)) {
        options.table_csv.replace(at, 4, ",128,"); // the bench is about the hop, not the limit
    }
    options.slots = 128;
    options.connections = 600;
    options.checks_tokens = false; // requests without a token come directly and by the bare proxy
    local_cluster cluster(with.programs, options);
    if (!cluster.make_ready()) {
        out.add("end-to-end", "cluster did not become ready", 1, "");
        return;
    }
    // A follower's node, so that the leader's work is not in the figures.
    const std::size_t leader = cluster.leader().value_or(0);
    std::string key;
    std::size_t owner = leader;
    for (int i = 0; owner == leader; ++i) {
        key = "key-" + std::to_string(i);
        owner = cluster.owner("emision", key).value_or(leader);
    }
    std::size_t other = 0;
    while (other == owner || other == leader) {
        ++other;
    }
    const std::string path = "/s/emision/k/" + key;
    const std::string proxy_address = "127.0.0.1:" + std::to_string(free_port());
    const child proxy(
        {with.programs + "/bare_proxy", proxy_address, cluster.target_address(owner)});
    std::this_thread::sleep_for(300ms);
    const std::vector<way> ways{
        {"direct", cluster.target_address(owner), {}},
        {"bare proxy", proxy_address, {proxy.id()}},
        {"owner's node", cluster.http_address(owner), {cluster.node_process(owner)}},
        {"another node",
         cluster.http_address(other),
         {cluster.node_process(owner), cluster.node_process(other)}}};
    for (const unsigned int connections : {1U, 16U, 120U}) {
        measure_ways(out, ways, path, connections, with.seconds, "");
    }
    std::vector<std::unique_ptr<httplib::Client>> idle;
    for (int i = 0; i < 120; ++i) {
        idle.push_back(std::make_unique<httplib::Client>("http://" + cluster.http_address(owner)));
        idle.back()->set_keep_alive(true);
        idle.back()->Get(path.c_str());
    }
    measure_ways(out, ways, path, 120, with.seconds, " and 120 idle");
}

// ---- time until keys are served again ----

bool get(const std::string &address, const std::string &path) {
    httplib::Client client("http://" + address);
    client.set_connection_timeout(500ms);
    client.set_read_timeout(10s);
    const httplib::Result answer = client.Get(path.c_str());
    return answer && answer->status == 200;
}

struct loss {
    const char *name;
    bool target;
    bool node;
    bool leader; ///< the leading voter's process too
    bool freeze;
};

constexpr loss losses[] = {
    {"SIGKILL of the owner's target", true, false, false, false},
    {"SIGKILL of the owner's node", false, true, false, false},
    {"SIGKILL of the leading voter", false, false, true, false},
    {"SIGKILL of the owner's node and target and the leading voter", true, true, true, false},
    {"SIGSTOP of the owner's node", false, true, false, true}};

/// Key whose owner is no voter, and that place.
std::pair<std::string, std::size_t> key_beyond_voters(const local_cluster &cluster) {
    for (int i = 0; i < 500; ++i) {
        const std::string key = "key-" + std::to_string(i);
        const std::optional<std::size_t> owner = cluster.owner("emision", key);
        if (owner && *owner >= 3) {
            return {key, *owner};
        }
    }
    return {"", 0};
}

double lose_once(local_cluster &cluster, const loss &what) {
    const auto [key, owner] = key_beyond_voters(cluster);
    const std::size_t leader = cluster.leader().value_or(0);
    const std::size_t asked = leader == 0 ? 1 : 0;
    const auto began = steady::now();
    if (what.leader) {
        cluster.signal_node(leader, SIGKILL);
    }
    if (what.node) {
        cluster.signal_node(owner, what.freeze ? SIGSTOP : SIGKILL);
    }
    if (what.target) {
        cluster.signal_target(owner, SIGKILL);
    }
    const std::string path = "/s/emision/k/" + key;
    while (!get(cluster.http_address(asked), path) && seconds_since(began) < 20) {
    }
    const double took = seconds_since(began);
    if (what.node && what.freeze) {
        cluster.signal_node(owner, SIGCONT);
    } else if (what.node) {
        cluster.start_node(owner);
    }
    if (what.target) {
        cluster.start_target(owner);
    }
    if (what.leader) {
        cluster.start_node(leader);
    }
    return took;
}

void bench_losses(report &out, const settings &with) {
    local_cluster cluster(with.programs, small_cluster({{"emision", 5}}));
    for (const loss &what : losses) {
        std::vector<double> times;
        for (int i = 0; i < with.repeats && cluster.make_ready(); ++i) {
            times.push_back(lose_once(cluster, what) * 1000);
        }
        const std::string name = what.name;
        out.add("loss", name + ": repeats", static_cast<double>(times.size()), "");
        for (const auto &[label, part] : {std::pair{"median", 0.5}, {"p90", 0.9}, {"worst", 1.0}}) {
            out.add("loss", name + ": served again, " + label, quantile(times, part), "ms");
        }
    }
}

// ---- a table change in force everywhere ----

void bench_in_force(report &out, const settings &with) {
    const std::size_t services = 5;
    std::map<std::string, std::size_t> counts;
    for (std::size_t i = 0; i < services; ++i) {
        counts["service-" + std::to_string(i)] = with.nodes / services;
    }
    cluster_options options = small_cluster(counts);
    options.extra_flags = {"--renew-ms", std::to_string(with.renew_ms)};
    local_cluster cluster(with.programs, options);
    if (!cluster.make_ready()) {
        out.add("in-force", "cluster did not become ready", 1, "");
        return;
    }
    const std::size_t leader = cluster.leader().value_or(0);
    std::vector<double> times;
    for (int change = 1; change <= 20; ++change) {
        httplib::Client client("http://" + cluster.http_address(leader));
        const std::string path = "/v1/table?base_version=" + std::to_string(change) +
                                 "&change_id=bench-" + std::to_string(change);
        const auto began = steady::now();
        client.Post(path.c_str(), {{"Authorization", "Bearer " + cluster.operator_token()}},
                    options.table_csv, "text/csv");
        bool everywhere = false;
        while (!everywhere && seconds_since(began) < 20) {
            const httplib::Result answer = client.Get("/v1/table/status");
            const auto json = nlohmann::json::parse(answer ? answer->body : "", nullptr, false);
            everywhere = json.is_object() && json.value("in_force_everywhere", false) &&
                         json.value("version", 0) == change + 1;
            std::this_thread::sleep_for(5ms);
        }
        times.push_back(seconds_since(began) * 1000);
    }
    const std::string name =
        std::to_string(with.nodes) + " nodes: table change in force everywhere, ";
    for (const auto &[label, part] : {std::pair{"median", 0.5}, {"worst of 20", 1.0}}) {
        out.add("in-force", name + label, quantile(times, part), "ms");
    }
    // What control costs while nothing happens.
    const double seconds = 5;
    std::vector<double> cpu;
    std::vector<double> bytes;
    for (std::size_t i = 3; i < cluster.size(); i += 10) {
        cpu.push_back(-process_cpu_s(cluster.node_process(i)));
        bytes.push_back(-cluster.dump(i)["peers"].value("bytes_out", 0.0) -
                        cluster.dump(i)["peers"].value("bytes_in", 0.0));
    }
    const double leader_cpu = -process_cpu_s(cluster.node_process(leader));
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
    const double leader_after = process_cpu_s(cluster.node_process(leader));
    std::size_t at = 0;
    for (std::size_t i = 3; i < cluster.size(); i += 10, ++at) {
        cpu[at] = (cpu[at] + process_cpu_s(cluster.node_process(i))) / seconds * 100;
        bytes[at] = (bytes[at] + cluster.dump(i)["peers"].value("bytes_out", 0.0) +
                     cluster.dump(i)["peers"].value("bytes_in", 0.0)) /
                    seconds;
    }
    out.add("in-force", "idle node: processor", quantile(cpu, 0.5), "% of a core");
    out.add("in-force", "idle node: bytes both ways", quantile(bytes, 0.5), "1/s");
    out.add("in-force", "leader with " + std::to_string(with.nodes) + " nodes: processor",
            (leader_cpu + leader_after) / seconds * 100, "% of a core");
    out.add("in-force", "renewals at the leader", with.nodes * 1000.0 / with.renew_ms, "1/s");
    out.add("in-force", "idle node: resident memory", resident_kb(cluster.node_process(5)) / 1000,
            "MB");
}

} // namespace

int main(int count, char **values) {
    settings with;
    cxxopts::Options table("cluster_bench",
                           "benches with real processes: end-to-end, loss, in-force");
    auto add = table.add_options();
    add("programs", "folder of the programs",
        cxxopts::value(with.programs)->default_value("build"));
    add("csv", "file for the results", cxxopts::value(with.csv));
    add("seconds", "length of each load", cxxopts::value(with.seconds));
    add("repeats", "repeats of each loss", cxxopts::value(with.repeats));
    add("nodes", "nodes for in-force", cxxopts::value(with.nodes));
    add("renew-ms", "renewal interval for in-force", cxxopts::value(with.renew_ms));
    report out;
    try {
        const auto parsed = table.parse(count, values);
        const auto &names = parsed.unmatched();
        const auto wanted = [&](const char *name) {
            return names.empty() || std::find(names.begin(), names.end(), name) != names.end();
        };
        if (wanted("end-to-end")) {
            bench_end_to_end(out, with);
        }
        if (wanted("loss")) {
            bench_losses(out, with);
        }
        if (wanted("in-force")) {
            bench_in_force(out, with);
        }
    } catch (const cxxopts::exceptions::exception &error) {
        std::cerr << "cluster_bench: " << error.what() << "\n";
        return 2;
    }
    out.print();
    return with.csv.empty() || out.write_csv(with.csv) ? 0 : 1;
}
