#include "peppertack/transport/control_host.hpp"
#include "peppertack/transport/daemon_settings.hpp"
#include "peppertack/transport/http_front.hpp"
#include "peppertack/transport/json_log.hpp"
#include "peppertack/transport/node_host.hpp"
#include "peppertack/transport/peer_hub.hpp"
#include "peppertack/transport/version.hpp"

#include <chrono>
#include <csignal>
#include <iostream>
#include <nlohmann/json.hpp>
#include <thread>

using namespace peppertack;

namespace {

constexpr int exit_done = 0;
constexpr int exit_failed = 1;
constexpr int exit_usage = 2;
constexpr auto longest_stop = std::chrono::seconds(30);
constexpr auto poll_interval = std::chrono::milliseconds(20);
/// After the last key is handed over, callers on open connections still get their answers.
constexpr auto linger = std::chrono::milliseconds(300);

volatile std::sig_atomic_t g_stop_signals = 0;

void on_stop_signal(int) {
    g_stop_signals = g_stop_signals + 1;
}

int print_problems(const std::vector<settings_problem> &problems) {
    for (const settings_problem &problem : problems) {
        std::cerr << "peppertackd: " << problem.setting << ": \"" << problem.value
                  << "\" is not allowed; allowed: " << problem.allowed << "\n";
    }
    return exit_usage;
}

int fail(const char *event, const std::string &reason) {
    log_event(log_level::error, event, {{"reason", reason}});
    return exit_failed;
}

/// Waits for a signal, then hands the target's keys over. A second signal ends it at once.
void run_until_stopped(node_host &node) {
    while (g_stop_signals == 0) {
        std::this_thread::sleep_for(poll_interval);
    }
    log_event(log_level::info, "stop_begun", nlohmann::json::object());
    node.begin_stop();
    const auto until = std::chrono::steady_clock::now() + longest_stop;
    while (!node.stopped() && g_stop_signals < 2 && std::chrono::steady_clock::now() < until) {
        std::this_thread::sleep_for(poll_interval);
    }
    const bool finished = node.stopped();
    log_event(finished ? log_level::info : log_level::warning, "stop_finished",
              {{"handed_over", finished}});
    if (finished) {
        std::this_thread::sleep_for(linger);
    }
}

int run(const daemon_settings &settings) {
    start_json_log("peppertackd", settings.least_level);
    std::signal(SIGTERM, on_stop_signal);
    std::signal(SIGINT, on_stop_signal);
    std::signal(SIGPIPE, SIG_IGN);

    std::string reason;
    const std::optional<voter_identity> identity = load_identity(settings, reason);
    if (!identity) {
        return fail("data_folder_failed", reason);
    }
    const std::unique_ptr<peer_hub> hub = peer_hub::make({.self = identity->name,
                                                          .secret = settings.cluster_secret,
                                                          .threads = settings.peer_threads},
                                                         reason);
    if (!hub) {
        return fail("peer_address_failed", reason);
    }
    const auto send = [&hub](const outgoing &item) { hub->send(item); };
    std::unique_ptr<control_host> control;
    if (!settings.data_folder.empty()) {
        control = control_host::make(settings, *identity, send, reason);
        if (!control) {
            return fail("data_folder_failed", reason);
        }
    }
    node_host node(settings, send);
    http_front front(settings, node, control.get(), *hub);
    if (!front.start(reason)) {
        return fail("http_address_failed", reason);
    }
    hub->start(
        [&](const node_address &from, message body) {
            if (!is_for_control(body)) {
                node.receive(from, body);
            } else if (control) {
                control->receive(from, std::move(body));
            }
        },
        [&](const node_address &address) { node.peer_down(address); });
    if (control) {
        control->start();
    }
    node.start();
    log_event(log_level::info, "started",
              {{"version", program_version},
               {"peer_address", settings.peer_address},
               {"http_address", settings.http_address},
               {"voter", control != nullptr}});
    run_until_stopped(node);
    front.stop();
    hub->stop();
    node.stop();
    if (control) {
        control->stop();
    }
    return exit_done;
}

} // namespace

int main(int count, char **values) {
    settings_action action = settings_action::run;
    std::string text;
    std::vector<settings_problem> problems;
    const std::optional<daemon_settings> settings =
        read_settings(count, values, action, text, problems);
    if (action == settings_action::show_and_exit) {
        std::cout << text;
        return exit_done;
    }
    if (!settings) {
        return print_problems(problems);
    }
    if (action == settings_action::check) {
        std::cout << "settings are valid\n";
        return exit_done;
    }
    return run(*settings);
}
