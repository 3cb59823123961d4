#include "peppertack/transport/http_front.hpp"

#include "connection_queue.hpp"
#include "operator_api.hpp"
#include "peppertack/protocol/caller_mapping.hpp"
#include "peppertack/protocol/error_answer.hpp"
#include "peppertack/transport/control_host.hpp"
#include "peppertack/transport/node_host.hpp"
#include "peppertack/transport/peer_hub.hpp"
#include "peppertack/transport/request_metrics.hpp"

#include <array>
#include <cmath>
#include <httplib.h>
#include <nlohmann/json.hpp>
#include <sys/socket.h>
#include <thread>

namespace peppertack {

namespace {

constexpr const char *problem_type = "application/problem+json";
constexpr const char *json_type = "application/json";
constexpr int listen_backlog = 1024;
constexpr int idle_connection_s = 60;
constexpr int slow_request_s = 5;
constexpr std::size_t most_requests_a_connection = 1'000'000'000;
constexpr std::string_view callers_path = "/s/";

/// Headers on which the HTTP library would act, changing a body on its way (unpacking, parsing
/// forms, cutting ranges, packing answers). They are put aside under another name before it looks,
/// and passed on under their own.
constexpr std::array<const char *, 4> acted_on{"Content-Type", "Content-Encoding",
                                               "Accept-Encoding", "Range"};
constexpr const char *aside_prefix = "Peppertack-Aside-";

void put_headers_aside(httplib::Request &request) {
    for (const char *name : acted_on) {
        const auto found = request.headers.find(name);
        if (found == request.headers.end()) {
            continue;
        }
        const std::string value = found->second;
        request.headers.erase(name);
        request.headers.emplace(std::string(aside_prefix) + name, value);
    }
    request.ranges.clear();
}

std::vector<header_field> headers_of(const httplib::Request &request) {
    const std::string_view prefix = aside_prefix;
    std::vector<header_field> headers;
    for (const auto &[name, value] : request.headers) {
        const bool aside = name.size() > prefix.size() &&
                           same_header(std::string_view(name).substr(0, prefix.size()), prefix);
        headers.push_back({aside ? name.substr(prefix.size()) : name, value});
    }
    return headers;
}

std::string retry_after_seconds(duration value) {
    const double seconds = std::chrono::duration<double>(value).count();
    return std::to_string(std::max(1L, std::lround(std::ceil(seconds))));
}

void write_problem(httplib::Response &out, error_kind kind, const std::string &detail,
                   outcome result) {
    out.status = answer_for(kind).status;
    out.set_content(problem_json(kind, detail, result), problem_type);
    out.set_header(header::outcome, outcome_name(result));
}

void write_response(const caller_response &response, bool head, httplib::Response &out) {
    if (response.result == outcome::ran && response.error == error_kind::none) {
        out.status = response.status;
        for (const header_field &field : response.headers) {
            out.set_header(field.name, field.value);
        }
        if (response.body && !head) {
            out.body = *response.body;
        }
        out.set_header(header::outcome, outcome_name(outcome::ran));
    } else {
        write_problem(out, response.error, "", response.result);
        if (response.retry_after > duration{}) {
            out.set_header(header::retry_after, retry_after_seconds(response.retry_after));
        }
    }
    if (!response.owner.empty()) {
        out.set_header(header::owner, response.owner);
        out.set_header(header::owner_address, response.owner_address);
    }
    out.set_header(header::token, std::to_string(response.token));
}

bool read_announcement(const std::string &body, target_announcement &announcement,
                       std::string &address, std::string &reason) {
    try {
        const nlohmann::json json = nlohmann::json::parse(body);
        announcement.name = json.at("name").get<std::string>();
        announcement.service = json.at("service").get<std::string>();
        address = json.at("address").get<std::string>();
        announcement.slots = json.at("slots").get<std::uint32_t>();
        announcement.connections = json.value("connections", announcement.slots);
        announcement.checks_tokens = json.value("checks_tokens", false);
        announcement.draining = json.value("draining", false);
    } catch (const nlohmann::json::exception &error) {
        reason = error.what();
        return false;
    }
    constexpr std::size_t longest_name = 64;
    const bool named = !announcement.name.empty() && announcement.name.size() <= longest_name &&
                       announcement.name.find('\n') == std::string::npos;
    if (!named || announcement.service.empty() || announcement.slots == 0 ||
        announcement.connections == 0 || address.find(':') == std::string::npos) {
        reason = "name: 1 to 64 characters; service: not empty; address: IP:port; slots and "
                 "connections: at least 1";
        return false;
    }
    return true;
}

} // namespace

class http_front::impl {
public:
    impl(const daemon_settings &settings, node_host &node, control_host *control,
         const peer_hub &hub)
        : m_settings(settings), m_node(node), m_control(control), m_hub(hub) {
        configure();
        add_routes();
    }

    bool start(std::string &reason) {
        const std::size_t colon = m_settings.http_address.rfind(':');
        const std::string host = m_settings.http_address.substr(0, colon);
        const int port = std::atoi(m_settings.http_address.c_str() + colon + 1);
        if (!m_server.bind_to_port(host, port)) {
            reason = m_settings.http_address + ": can't listen";
            return false;
        }
        // The library queues five connections; a burst beyond that would wait for a second each.
        if (m_socket >= 0) {
            ::listen(m_socket, listen_backlog);
        }
        m_thread = std::thread([this] { m_server.listen_after_bind(); });
        return true;
    }

    void stop() {
        m_server.stop();
        if (m_thread.joinable()) {
            m_thread.join();
        }
    }

private:
    void configure() {
        m_server.new_task_queue = [this] {
            return new connection_queue(m_settings.most_http_threads);
        };
        m_server.set_tcp_nodelay(true);
        m_server.set_keep_alive_max_count(most_requests_a_connection);
        m_server.set_keep_alive_timeout(idle_connection_s);
        m_server.set_read_timeout(slow_request_s, 0);
        m_server.set_write_timeout(slow_request_s, 0);
        m_server.set_payload_max_length(m_settings.largest_body);
        m_server.set_socket_options([this](socket_t socket) {
            m_socket = socket;
            const int on = 1;
            ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        });
        m_server.set_pre_routing_handler([](const httplib::Request &request, httplib::Response &) {
            if (request.target.compare(0, callers_path.size(), callers_path) == 0) {
                put_headers_aside(const_cast<httplib::Request &>(request));
            }
            return httplib::Server::HandlerResponse::Unhandled;
        });
        const httplib::Server::Handler explain = [](const httplib::Request &,
                                                    httplib::Response &out) {
            if (out.body.empty() && !out.has_header(header::outcome)) {
                explain_refusal(out);
            }
        };
        m_server.set_error_handler(explain);
    }

    /// The library refused a request before a handler saw it.
    static void explain_refusal(httplib::Response &out) {
        const int status = out.status;
        const error_kind kind = status == 413   ? error_kind::too_large
                                : status == 404 ? error_kind::not_found
                                                : error_kind::malformed_request;
        write_problem(out, kind, "HTTP status " + std::to_string(status), outcome::not_run);
        out.status = status;
    }

    void add_routes() {
        const auto caller = [this](const httplib::Request &request, httplib::Response &out) {
            serve_caller(request, out);
        };
        constexpr const char *pattern = "/s/[^]*";
        m_server.Get(pattern, caller);
        m_server.Post(pattern, caller);
        m_server.Put(pattern, caller);
        m_server.Patch(pattern, caller);
        m_server.Delete(pattern, caller);
        m_server.Options(pattern, caller);
        m_server.Post("/v1/target",
                      [this](const httplib::Request &request, httplib::Response &out) {
                          take_announcement(request, out);
                      });
        m_server.Get("/healthz", [](const httplib::Request &, httplib::Response &out) {
            out.set_content("ok\n", "text/plain");
        });
        add_reading("/metrics", [this](const httplib::Request &, httplib::Response &out) {
            out.set_content(metrics_text(), "text/plain; version=0.0.4");
        });
        add_reading("/dump", [this](const httplib::Request &, httplib::Response &out) {
            out.set_content(dump_json().dump(2) + "\n", json_type);
        });
        add_operator_routes(
            m_server, m_control, [this](const auto &path, auto read) { add_reading(path, read); },
            [this](const httplib::Request &request, httplib::Response &out) {
                return may_change(request, out);
            });
    }

    void add_reading(const std::string &path, const httplib::Server::Handler &handler) {
        m_server.Get(path,
                     [this, handler](const httplib::Request &request, httplib::Response &out) {
                         if (m_settings.open_reading || may_change(request, out)) {
                             handler(request, out);
                         }
                     });
    }

    bool may_change(const httplib::Request &request, httplib::Response &out) const {
        const std::string given = request.get_header_value("Authorization");
        if (!m_settings.operator_token.empty() && given == "Bearer " + m_settings.operator_token) {
            return true;
        }
        write_problem(out, error_kind::unauthorised, "", outcome::not_run);
        return false;
    }

    void serve_caller(const httplib::Request &request, httplib::Response &out) {
        const auto began = std::chrono::steady_clock::now();
        mapping_fault fault;
        body_bytes body;
        if (!request.body.empty()) {
            body = std::make_shared<const std::string>(
                std::move(const_cast<httplib::Request &>(request).body));
        }
        std::optional<caller_request> mapped =
            map_request(request.method, request.target, headers_of(request), std::move(body),
                        m_settings.limits, fault);
        caller_response response;
        if (mapped) {
            response = m_node.run(std::move(*mapped));
            write_response(response, request.method == "HEAD", out);
        } else {
            response.error = fault.kind;
            write_problem(out, fault.kind, fault.detail, outcome::not_run);
        }
        m_metrics.note(response, std::chrono::steady_clock::now() - began);
    }

    void take_announcement(const httplib::Request &request, httplib::Response &out) {
        target_announcement announcement;
        std::string address;
        std::string reason;
        if (!read_announcement(request.body, announcement, address, reason)) {
            write_problem(out, error_kind::malformed_request, reason, outcome::not_run);
            return;
        }
        m_node.announce(announcement, address);
        const nlohmann::json json{{"registration", m_node.registration()},
                                  {"lease_valid", m_node.lease_valid()},
                                  {"announce_again_ms", 300}};
        out.set_content(json.dump() + "\n", json_type);
    }

    nlohmann::json dump_json() const {
        const peer_hub_counters &peers = m_hub.counters();
        nlohmann::json json{{"node", m_node.dump()}};
        json["peers"] = {{"connections", m_hub.connections()},
                         {"messages_in", peers.messages_in.load()},
                         {"messages_out", peers.messages_out.load()},
                         {"bytes_in", peers.bytes_in.load()},
                         {"bytes_out", peers.bytes_out.load()},
                         {"refused_secrets", peers.refused_secrets.load()},
                         {"bad_messages", peers.bad_messages.load()},
                         {"silent_connections", peers.silent_connections.load()}};
        if (m_control != nullptr) {
            json["control"] = m_control->dump();
        }
        return json;
    }

    std::string metrics_text() const {
        std::string text = m_metrics.text();
        const nlohmann::json dump = dump_json();
        for (const char *part : {"node", "peers"}) {
            for (const auto &[name, value] : dump[part].items()) {
                if (value.is_number() || value.is_boolean()) {
                    text +=
                        metric_line(std::string(part) + "_" + name,
                                    value.is_boolean() ? value.get<bool>() : value.get<double>());
                }
            }
        }
        for (const auto &[name, value] : dump["node"]["counters"].items()) {
            text += metric_line(name + "_total", value.get<double>());
        }
        return text;
    }

    const daemon_settings &m_settings;
    node_host &m_node;
    control_host *m_control;
    const peer_hub &m_hub;
    request_metrics m_metrics;
    httplib::Server m_server;
    socket_t m_socket = -1;
    std::thread m_thread;
};

http_front::http_front(const daemon_settings &settings, node_host &node, control_host *control,
                       const peer_hub &hub)
    : m_impl(std::make_unique<impl>(settings, node, control, hub)) {}

http_front::~http_front() {
    stop();
}

bool http_front::start(std::string &reason) {
    return m_impl->start(reason);
}

void http_front::stop() {
    m_impl->stop();
}

} // namespace peppertack
