#include <atomic>
#include <chrono>
#include <csignal>
#include <cxxopts.hpp>
#include <fstream>
#include <httplib.h>
#include <iostream>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <sys/socket.h>
#include <thread>

// A small target for tests, the demo and benches. It announces itself to its node, keeps a ledger
// of every request that it ran, and refuses a fencing token older than one it has seen for that
// key.

namespace {

constexpr int exit_usage = 2;
constexpr int listen_backlog = 1024;
constexpr auto announce_interval = std::chrono::milliseconds(300);

volatile std::sig_atomic_t g_stop = 0;

void on_stop(int) {
    g_stop = 1;
}

struct options {
    std::string address;
    std::string node;
    std::string name;
    std::string service;
    std::string ledger;
    unsigned int slots = 18;
    unsigned int connections = 120;
    unsigned int work_us = 0;
    bool checks_tokens = true;
};

/// One line for each request that ran, in the order in which they ran.
class ledger {
public:
    explicit ledger(const std::string &file) {
        if (!file.empty()) {
            m_out.open(file, std::ios::app);
        }
    }
    void note(const httplib::Request &request, std::uint64_t token) {
        if (!m_out.is_open()) {
            return;
        }
        const nlohmann::json json{{"method", request.method},
                                  {"path", request.target},
                                  {"token", token},
                                  {"id", request.get_header_value("Idempotency-Key")},
                                  {"bytes", request.body.size()}};
        const std::lock_guard lock(m_mutex);
        m_out << json.dump() << '\n' << std::flush;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_out;
};

class fence {
public:
    bool pass(const std::string &key, std::uint64_t token) {
        const std::lock_guard lock(m_mutex);
        std::uint64_t &highest = m_highest[key];
        if (token < highest) {
            return false;
        }
        highest = token;
        return true;
    }

private:
    std::mutex m_mutex;
    std::map<std::string, std::uint64_t> m_highest;
};

std::string key_of(const std::string &target) {
    const std::size_t at = target.find("/k/");
    const std::string rest = at == std::string::npos ? target : target.substr(at + 3);
    return rest.substr(0, rest.find_first_of("/?"));
}

void announce_until_stopped(const options &settings) {
    const std::size_t colon = settings.node.rfind(':');
    httplib::Client node(settings.node.substr(0, colon),
                         std::atoi(settings.node.c_str() + colon + 1));
    node.set_connection_timeout(std::chrono::milliseconds(200));
    node.set_read_timeout(std::chrono::milliseconds(500));
    const nlohmann::json json{{"name", settings.name},
                              {"service", settings.service},
                              {"address", settings.address},
                              {"slots", settings.slots},
                              {"connections", settings.connections},
                              {"checks_tokens", settings.checks_tokens}};
    while (g_stop == 0) {
        node.Post("/v1/target", json.dump(), "application/json");
        std::this_thread::sleep_for(announce_interval);
    }
}

int run(const options &settings) {
    std::signal(SIGTERM, on_stop);
    std::signal(SIGINT, on_stop);
    ledger written(settings.ledger);
    fence tokens;
    httplib::Server server;
    int socket = -1;
    server.new_task_queue = [&] { return new httplib::ThreadPool(settings.connections + 16); };
    server.set_tcp_nodelay(true);
    server.set_keep_alive_max_count(1'000'000'000);
    server.set_keep_alive_timeout(60);
    server.set_socket_options([&](socket_t value) {
        socket = value;
        const int on = 1;
        ::setsockopt(value, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    });
    // The library would take forms and ranges apart; this target wants the bytes as they came.
    server.set_pre_routing_handler([](const httplib::Request &request, httplib::Response &) {
        auto &headers = const_cast<httplib::Request &>(request).headers;
        for (const char *name : {"Content-Type", "Content-Encoding", "Accept-Encoding"}) {
            headers.erase(name);
        }
        const_cast<httplib::Request &>(request).ranges.clear();
        return httplib::Server::HandlerResponse::Unhandled;
    });
    const auto serve = [&](const httplib::Request &request, httplib::Response &out) {
        const std::string text = request.get_header_value("Peppertack-Token");
        const std::uint64_t token = std::strtoull(text.c_str(), nullptr, 10);
        if (settings.checks_tokens && !tokens.pass(key_of(request.target), token)) {
            out.status = 409;
            out.set_content("older token\n", "text/plain");
            return;
        }
        if (settings.work_us != 0) {
            std::this_thread::sleep_for(std::chrono::microseconds(settings.work_us));
        }
        written.note(request, token);
        if (request.method == "GET") {
            out.set_content(settings.name + "\n", "text/plain");
        } else {
            out.set_content(request.body, "application/octet-stream");
        }
    };
    server.Get("/s/[^]*", serve);
    server.Post("/s/[^]*", serve);
    server.Put("/s/[^]*", serve);
    server.Patch("/s/[^]*", serve);
    server.Delete("/s/[^]*", serve);
    server.Options("/s/[^]*", serve);
    const std::size_t colon = settings.address.rfind(':');
    if (!server.bind_to_port(settings.address.substr(0, colon),
                             std::atoi(settings.address.c_str() + colon + 1))) {
        std::cerr << "stand_in_target: " << settings.address << ": can't listen\n";
        return 1;
    }
    ::listen(socket, listen_backlog);
    std::thread announcer([&] {
        announce_until_stopped(settings);
        server.stop();
    });
    server.listen_after_bind();
    announcer.join();
    return 0;
}

} // namespace

int main(int count, char **values) {
    cxxopts::Options table("stand_in_target", "small target with a ledger of what it ran");
    options settings;
    auto add = table.add_options();
    add("address", "IP:port to listen on", cxxopts::value(settings.address));
    add("node", "HTTP address of the node beside it", cxxopts::value(settings.node));
    add("name", "name of this target", cxxopts::value(settings.name));
    add("service", "service it belongs to", cxxopts::value(settings.service));
    add("ledger", "file for the ledger", cxxopts::value(settings.ledger));
    add("slots", "requests at a time", cxxopts::value(settings.slots));
    add("connections", "connections at a time", cxxopts::value(settings.connections));
    add("work-us", "time each request takes", cxxopts::value(settings.work_us));
    add("checks-tokens", "refuse older fencing tokens", cxxopts::value(settings.checks_tokens));
    add("help", "print this and exit");
    try {
        const auto parsed = table.parse(count, values);
        if (parsed.count("help") != 0) {
            std::cout << table.help();
            return 0;
        }
    } catch (const cxxopts::exceptions::exception &error) {
        std::cerr << "stand_in_target: " << error.what() << "\n";
        return exit_usage;
    }
    if (settings.address.empty() || settings.node.empty() || settings.name.empty() ||
        settings.service.empty()) {
        std::cerr << "stand_in_target: address, node, name and service are required\n";
        return exit_usage;
    }
    return run(settings);
}
