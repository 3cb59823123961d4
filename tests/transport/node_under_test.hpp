#pragma once

#include "local_cluster.hpp"
#include "peppertack/protocol/error_answer.hpp"
#include "peppertack/protocol/hop_header.hpp"
#include "peppertack/state/routing_delta.hpp"
#include "peppertack/state/text_compression.hpp"
#include "peppertack/transport/http/whole_request.hpp"
#include "peppertack/transport/traffic/traffic_host.hpp"

#include <asio.hpp>
#include <doctest/doctest.h>
#include <functional>
#include <optional>

namespace peppertack::testing {

using namespace std::chrono_literals;

inline constexpr const char *plain = "plain"; ///< a service without keys, and the host of its route
inline constexpr const char *keyed = "keyed"; ///< a service with keys, and the host of its route
inline constexpr const char *reads = "reads"; ///< host of a route to `plain` that may be repeated
inline constexpr const char *voter = "127.0.0.1:1";
inline constexpr const char *own_peer = "127.0.0.1:2";
inline constexpr const char *neighbour_peer = "127.0.0.2:2";
inline constexpr target_number old_number = 7;
inline constexpr target_number neighbour_number = 9;

inline std::string loopback(const std::string &host, int port) {
    return host + ":" + std::to_string(port);
}

inline moment test_moment() {
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return {instant(std::chrono::duration_cast<duration>(std::chrono::seconds(now.tv_sec) +
                                                         std::chrono::nanoseconds(now.tv_nsec))),
            0};
}

inline route route_to(const std::string &service) {
    return {.name = "to-" + service,
            .host = service,
            .path_prefix = "/",
            .timeout = 5s,
            .latency_objective = 1s,
            .split = {{service, 1}}};
}

/// Idempotent requests to the service without keys.
inline route route_of_reads() {
    route result = route_to(plain);
    result.name = reads;
    result.host = reads;
    result.repeat = retry_policy::idempotent;
    return result;
}

inline routing_table both_services() {
    return {.version = 1,
            .routes = {{"to-plain", route_to(plain)},
                       {"to-keyed", route_to(keyed)},
                       {reads, route_of_reads()}},
            .services = {{plain, {.name = plain}}, {keyed, {.name = keyed, .keyed = true}}}};
}

/// What a caller, or a node that forwards, sees of one request.
struct seen_answer final : http_response_handler {
    void on_response_head(http_head told) override { head = std::move(told); }
    void on_response_body(std::string_view) override {}
    void on_response_end() override { over = true; }
    void on_call_failed(call_failure, const std::string &) override { over = true; }
    http_head head;
    bool over = false;
};

/// One node with hand-made answers of a leader, and the target beside it, all on one thread.
class node_under_test {
public:
    /// Without `knows_routes` the node waits for `learn_routes`.
    explicit node_under_test(void (*adjust)(traffic_options &) = nullptr, bool knows_routes = true)
        : m_target_address(loopback("127.0.0.1", free_port())), m_node_port(free_port()),
          m_caller_address(loopback("127.0.0.1", free_port())),
          m_target(m_io, {.address = m_target_address},
                   whole_request::factory(
                       [this](const auto &caller, const std::string &) { take(caller); })),
          m_neighbour(m_io, {.address = loopback("127.0.0.2", m_node_port)},
                      whole_request::factory([this](const auto &caller, const std::string &) {
                          ++neighbour_asked;
                          if (const auto *hop = caller->request().find(hop_header)) {
                              neighbour_hop = decode_hop_request(*hop);
                          }
                          if (neighbour_refuses == error_kind::none) {
                              m_unanswered.push_back(caller); // it never answers
                              return;
                          }
                          const hop_reply reply{.refused = neighbour_refuses};
                          caller->respond(answer_for(neighbour_refuses).status,
                                          {{std::string(hop_header), encode(reply)}}, {});
                      })),
          m_host(m_io, options(adjust), [this](const outgoing &item) { note(item); }),
          m_pool(m_io, {}) {
        std::string reason;
        REQUIRE_MESSAGE(m_target.start(reason), reason);
        REQUIRE_MESSAGE(m_neighbour.start(reason), reason);
        REQUIRE_MESSAGE(m_host.start(reason), reason);
        if (knows_routes) {
            learn_routes();
        }
    }

    error_kind neighbour_refuses = error_kind::overloaded;
    int neighbour_asked = 0;                  ///< requests that came to the neighbour
    std::optional<hop_request> neighbour_hop; ///< what the last of them was told
    int runs = 0;                             ///< requests that the target beside the node has run
    bool target_answers = true;               ///< off: what it runs never ends
    node_agent &agent() { return m_host.agent(); }
    traffic_host &host() { return m_host; }
    asio::io_context &io() { return m_io; }

    /// A node that knows no routes can't tell whether a target's service is one of theirs, and
    /// takes in none.
    void learn_routes() {
        REQUIRE(run_until([&] { return !m_renewals.empty(); }));
        m_host.receive(voter, renew_reply{.sequence = m_renewals.back().sequence,
                                          .is_leader = true,
                                          .routes_version = 1,
                                          .routes = compress_text(encode(both_services()))});
    }

    /// The neighbour is the only target of the service without keys.
    void know_neighbour() {
        beat("old", plain);
        answer(registering("old"), old_number,
               {{.number = neighbour_number,
                 .name = "other",
                 .service = plain,
                 .address = neighbour_peer,
                 .slots = 4}});
    }

    bool run_until(const std::function<bool()> &condition) {
        const auto limit = std::chrono::steady_clock::now() + 20s;
        while (!condition() && std::chrono::steady_clock::now() < limit) {
            m_io.restart();
            m_io.run_one_for(20ms);
        }
        return condition();
    }

    /// A heartbeat of the target that now has the address.
    void beat(const std::string &name, const std::string &service) {
        m_target_name = name;
        m_host.agent().heartbeat({.name = name,
                                  .address = m_target_address,
                                  .service = service,
                                  .slots = 4,
                                  .sequence = ++m_beats},
                                 test_moment(), [](const hold_grant &) {});
    }

    /// Waits for a renewal that registers the target of that name.
    renew_request registering(const std::string &name) {
        const auto asked = [&] {
            return !m_renewals.empty() && m_renewals.back().target.name == name;
        };
        REQUIRE(run_until(asked));
        return m_renewals.back();
    }

    /// The leader's answer to a renewal: a number with a lease, the routes and the targets.
    void answer(const renew_request &renewal, target_number number,
                const std::vector<target_route> &targets) {
        renew_reply reply{.sequence = renewal.sequence,
                          .is_leader = true,
                          .number = number,
                          .lease = 30s,
                          .routes_version = 1,
                          .routes = compress_text(encode(difference({}, both_services()))),
                          .map = {.to = 1, .as_of = 1, .targets = targets}};
        reply.map.services = {{.service = keyed, .whole = true, .ranges = {{.owner = old_number}}}};
        m_host.receive(voter, reply);
    }

    /// The target of one service ends and one of another service takes over its address. The node
    /// hears no answer to its wish to end the old registration.
    void replace(const std::string &old_service, const std::string &new_service) {
        beat("old", old_service);
        answer(registering("old"), old_number,
               {{.number = old_number,
                 .name = "old",
                 .service = old_service,
                 .address = own_peer,
                 .slots = 4}});
        take_in("new", new_service);
    }

    /// Another target reports from the address until the node has taken it in.
    void take_in(const std::string &name, const std::string &service) {
        const auto taken_in = [&] {
            beat(name, service);
            return agent().has_target() && agent().target().name == name;
        };
        REQUIRE(run_until(taken_in));
    }

    /// Makes a request as a caller does.
    http_head ask(const std::string &service, std::vector<header_field> headers = {}) {
        headers.push_back({"Host", service});
        return call(m_caller_address, std::move(headers));
    }

    /// Makes a request as a caller does, and does not wait for its answer.
    std::shared_ptr<seen_answer> begin_to_ask(const std::string &service,
                                              std::vector<header_field> headers) {
        headers.push_back({"Host", service});
        return begin_call(m_caller_address, std::move(headers));
    }

    /// Makes a request as a caller does, and leaves once the neighbour has it.
    void ask_and_leave(const std::string &service) {
        http_head head;
        head.method = "GET";
        head.target = "/";
        head.headers = {{"Host", service}};
        const auto answer = std::make_shared<seen_answer>();
        const auto open = m_pool.start(m_caller_address, head, answer, true);
        open->request_done();
        REQUIRE(run_until([&] { return neighbour_asked > 0; }));
        open->cancel();
    }

    /// Makes a request as another node does, and keeps its connection open once the target runs it.
    std::shared_ptr<http_call> forward_without_end(std::vector<header_field> headers) {
        target_answers = false;
        http_head head;
        head.method = "GET";
        head.target = "/";
        headers.push_back({"Host", plain});
        head.headers = std::move(headers);
        m_open_answer = std::make_shared<seen_answer>();
        auto open = m_pool.start(loopback("127.0.0.1", m_node_port), head, m_open_answer, true);
        open->request_done();
        const int before = runs;
        REQUIRE(run_until([&] { return runs > before; }));
        return open;
    }
    /// What came for the request of `forward_without_end`.
    const seen_answer &open_answer() const { return *m_open_answer; }
    /// Where callers send requests.
    const std::string &caller_address() const { return m_caller_address; }
    /// Where other nodes send requests.
    std::string node_address() const { return loopback("127.0.0.1", m_node_port); }
    /// The target takes no new connections; those that it has taken stay open.
    void stop_target_listening() { m_target.stop_accepting(); }

    /// Makes a request as another node does.
    http_head forward(std::vector<header_field> headers) {
        headers.push_back({"Host", plain});
        return call(loopback("127.0.0.1", m_node_port), std::move(headers));
    }

private:
    traffic_options options(void (*adjust)(traffic_options &)) const {
        traffic_options result{.caller_address = m_caller_address,
                               .node_address = loopback("127.0.0.1", m_node_port),
                               .service = plain};
        result.node.self = own_peer;
        result.node.voters = {voter};
        result.node.named_registrations = true;
        result.node.announce_timeout = 60s; // heartbeats come by hand
        result.heartbeat_interval = 60s;
        result.stop.acceptance = 100ms;
        result.stop.limit = 800ms;
        if (adjust != nullptr) {
            adjust(result);
        }
        return result;
    }

    void note(const outgoing &item) {
        if (const auto *renewal = std::get_if<renew_request>(&item.body)) {
            m_renewals.push_back(*renewal);
        }
    }

    void take(const std::shared_ptr<http_exchange> &caller) {
        if (target_answers) {
            run(*caller);
        } else {
            ++runs;
            m_unanswered.push_back(caller);
        }
    }

    void run(http_exchange &caller) {
        if (caller.request().path() == "/healthz") {
            caller.respond(200, {{"Target-Name", m_target_name}}, {});
            return;
        }
        ++runs;
        caller.respond(200, {}, "ran");
    }

    std::shared_ptr<seen_answer> begin_call(const std::string &address,
                                            std::vector<header_field> headers) {
        http_head head;
        head.method = "GET";
        head.target = "/";
        head.headers = std::move(headers);
        const auto answer = std::make_shared<seen_answer>();
        m_calls.push_back(m_pool.start(address, head, answer, true));
        m_calls.back()->request_done();
        return answer;
    }

    http_head call(const std::string &address, std::vector<header_field> headers) {
        const auto answer = begin_call(address, std::move(headers));
        REQUIRE(run_until([&] { return answer->over; }));
        return answer->head;
    }

    asio::io_context m_io;
    std::vector<std::shared_ptr<http_exchange>> m_unanswered;
    std::shared_ptr<seen_answer> m_open_answer;
    std::vector<std::shared_ptr<http_call>> m_calls;
    std::string m_target_address;
    std::string m_target_name;
    int m_node_port;
    std::string m_caller_address;
    std::vector<renew_request> m_renewals;
    std::uint64_t m_beats = 0;
    http_server m_target;
    http_server m_neighbour;
    traffic_host m_host;
    http_client_pool m_pool;
};

} // namespace peppertack::testing
