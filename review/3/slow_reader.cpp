#include "../support/app_server.hpp"

#include <algorithm>
#include <iostream>

// A client with several requests on one kept connection reads nothing for a moment. The node must
// not close the connection on it: its requests have run and get no answer then.

namespace {

using namespace review;

constexpr std::size_t servers = 3;
constexpr std::size_t answer_bytes = 90'000;
constexpr std::size_t pipelined = 5;
constexpr std::size_t clients = 3;
constexpr int rounds = 3;
constexpr milliseconds warm_up(2500);
constexpr milliseconds pause_in_reading(2000);
constexpr milliseconds patience(5000); ///< deadline that the clients tell
constexpr int allowed_losses = 3;

nlohmann::json config() {
    const nlohmann::json route{
        {"host", "engraver.example"}, {"path_prefix", "/e/"},    {"type", "safe"},
        {"timeout_s", 6.0},           {"target_latency_s", 0.8}, {"priority", 1},
        {"service", "engraver"},      {"max_attempts", 2}};
    return {{"version", "00000001"},
            {"base_version", 0},
            {"routes", {{"r-engraver", route}}},
            {"services",
             {{"engraver",
               {{"health_path", "/healthz"},
                {"max_connections", 200},
                {"protocol", "h1"},
                {"tls", false}}}}},
            {"limits",
             {{"max_header_bytes", 16384},
              {"max_body_bytes", 67108864},
              {"header_timeout_s", 3},
              {"idle_timeout_s", 15}}}};
}

std::string request(const std::string &id) {
    return http_bytes("GET /e/50 HTTP/1.1",
                      {{"Host", "engraver.example"},
                       {"X-Request-Id", id},
                       {"X-Deadline-Ms", std::to_string(patience.count())}},
                      "");
}

/// Requests of one client that got no byte of an answer before its connection ended.
struct outcome {
    int answered = 0;
    int cut = 0; ///< an answer had begun
    std::vector<std::string> unanswered;
};

void run_round(const endpoint &node, const std::string &name, record &out, outcome &result) {
    tcp_stream stream = tcp_stream::connect(node, milliseconds(1000));
    const std::string first = name + "-0";
    out.note("client " + name + " connects and sends " + first);
    const auto kept =
        stream.open() && stream.write(request(first)) ? stream.read(patience) : std::nullopt;
    if (!kept || kept->status() != 200 || kept->find("connection") != nullptr) {
        out.note(first + " was not answered with 200 on a connection that is kept");
        return;
    }
    std::string bytes;
    for (std::size_t i = 1; i <= pipelined; ++i) {
        bytes += request(name + "-" + std::to_string(i));
    }
    const instant sent = clock_type::now();
    stream.write(bytes);
    out.note("client " + name + " sends " + std::to_string(pipelined) + " more on it");
    if (with_trouble()) {
        std::this_thread::sleep_for(pause_in_reading);
        out.note("client " + name + " begins to read");
    }
    bool ended = false;
    for (std::size_t i = 1; i <= pipelined; ++i) {
        const std::string id = name + "-" + std::to_string(i);
        const auto left =
            std::chrono::duration_cast<milliseconds>(sent + patience - clock_type::now());
        const auto answer = ended ? std::nullopt : stream.read(left);
        if (answer) {
            ++result.answered;
            out.note(id + " answered " + std::to_string(answer->status()) + ", " +
                     std::to_string(answer->body.size()) + " bytes");
        } else if (!ended && stream.partly_read()) {
            ++result.cut;
            out.note(id + " got part of an answer, then the connection ended");
        } else {
            result.unanswered.push_back(id);
            out.note(id + " got no byte of an answer before the connection ended");
        }
        ended = ended || !answer;
    }
    const bool in_time = clock_type::now() < sent + patience;
    if (ended && !in_time) {
        out.note(name + " waited until its deadline: not counted");
        result.unanswered.clear();
    }
}

int run(const std::string &folder) {
    record out(folder + "/record.txt");
    deployment system(std::vector<std::string>(servers, "engraver"), {});
    if (!system.start() || !system.configure(config())) {
        std::cerr << "the deployment did not start\n";
        return exit_not_run;
    }
    owner_judge judge(servers, out);
    std::vector<std::unique_ptr<app_server>> apps;
    for (std::size_t i = 0; i < servers; ++i) {
        apps.push_back(std::make_unique<app_server>(
            system, judge, out,
            app_server::options{.machine = i, .slots = 17, .answer_bytes = answer_bytes}));
        if (!apps.back()->start()) {
            return exit_not_run;
        }
    }
    std::this_thread::sleep_for(warm_up);
    outcome total;
    for (int round = 0; round < rounds; ++round) {
        std::vector<outcome> results(clients);
        std::vector<std::thread> threads;
        for (std::size_t i = 0; i < clients; ++i) {
            const std::string name = "c" + std::to_string(round) + std::to_string(i);
            threads.emplace_back(
                [&, i, name] { run_round(system.outbound(i % servers), name, out, results[i]); });
        }
        for (std::size_t i = 0; i < clients; ++i) {
            threads[i].join();
            total.answered += results[i].answered;
            total.cut += results[i].cut;
            total.unanswered.insert(total.unanswered.end(), results[i].unanswered.begin(),
                                    results[i].unanswered.end());
        }
    }
    int lost = 0;
    for (const std::string &id : total.unanswered) {
        const bool passed_on = std::any_of(apps.begin(), apps.end(),
                                           [&](const auto &app) { return app->has_run(id); });
        lost += passed_on ? 1 : 0;
        out.note(id + (passed_on ? " LOST: passed on to a sound server, and its connection was "
                                   "closed without an answer"
                                 : " was not passed on"));
    }
    std::cout << total.answered << " requests answered, " << total.cut << " answers cut short, "
              << lost << " requests passed on whose connection was closed without an answer\n";
    if (total.answered + total.cut + lost == 0 || !system.all_run()) {
        return exit_not_run;
    }
    return lost > allowed_losses ? exit_broken : exit_held;
}

} // namespace

int main(int count, char **words) {
    return count == 2 ? run(words[1]) : exit_not_run;
}
