#pragma once

#include "peppertack/coordination/admission_level.hpp"
#include "peppertack/coordination/dependency_admission.hpp"
#include "peppertack/coordination/nested_call_detector.hpp"
#include "peppertack/coordination/retry_detector.hpp"
#include "peppertack/coordination/unavailable_targets.hpp"
#include "peppertack/transport/http/http_client_pool.hpp"
#include "peppertack/transport/http/http_server.hpp"
#include "peppertack/transport/read_delay_probe.hpp"
#include "peppertack/transport/request_log.hpp"
#include "peppertack/transport/traffic/hold_call_runner.hpp"
#include "peppertack/transport/traffic/node_agent.hpp"
#include "peppertack/transport/traffic/traffic_metrics.hpp"

#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <random>
#include <set>
#include <unordered_map>

namespace peppertack {

/// A request being handled, whichever side of a hop it is on.
class timed_request {
public:
    virtual ~timed_request() = default;
    /// Time has passed, or what is known of the system has changed.
    virtual void on_time(instant now) = 0;
    /// The process ends in a moment: whoever waits is told what is known.
    virtual void on_process_end(instant now) = 0;
    /// Whether a caller waits for it, and not another node or a request that the local target runs.
    virtual bool awaited_by_caller() const { return false; }
};

/// The traffic of one node on one thread: takes requests of callers, forwards each to the node
/// beside the chosen target, and gives the local target those that others forward. Not thread safe.
class traffic_host {
public:
    traffic_host(asio::io_context &io, traffic_options options, node_agent::sender send);
    ~traffic_host();
    traffic_host(const traffic_host &) = delete;
    traffic_host &operator=(const traffic_host &) = delete;

    /// Listens on both addresses. False, with the reason, if one can't be had.
    bool start(std::string &reason);
    /// Takes a message of a peer. Call it on the traffic thread.
    void receive(const node_address &from, const message &body);
    node_agent &agent() { return m_agent; }
    const node_agent &agent() const { return m_agent; }
    /// Whether callers should be sent here.
    bool ready() const { return m_agent.ready() && !m_stop.begun(); }
    /// Stops in order: what is in flight is finished, answers end their connections. `done` is
    /// called once that is so, or the limit has passed.
    void begin_stop(std::function<void()> done);

    /// When this node began to take requests.
    instant started() const { return m_started; }

    // ---- for the requests ----
    const traffic_options &options() const { return m_options; }
    http_client_pool &pool() { return m_pool; }
    target_selector &selector() { return m_selector; }
    /// Notes a request to a service, which earns a part of a retry.
    void note_request(const std::string &service);
    /// Takes a retry from the budget of a service. `rerun`: the request may have run already.
    bool take_retry(const std::string &service, bool rerun);
    request_log &log() { return m_log; }
    /// Lines about requests that are told to be wrong. They have a budget of their own: refusals
    /// for load, of which there may be thousands, would leave no room for them.
    request_log &denials() { return m_denials; }
    /// Lines about requests that were served in the end: in one budget with those that failed they
    /// would leave less room for failures.
    request_log &served() { return m_served; }
    /// Lines about calls of targets that were refused: another writer may send any number of them.
    request_log &refused_calls() { return m_refused_calls; }
    traffic_metrics &metrics() { return m_metrics; }
    /// Metrics of the traffic in the Prometheus exposition format.
    std::string metrics_text() const;
    std::mt19937_64 &random() { return m_random; }
    /// The local target has refused a connection. It has ended only if the connections that it had
    /// accepted are closed too: one with too many, or one that leaves, refuses new ones while it
    /// still holds its keys.
    void note_target_refused(instant attempt_begun);
    /// The connection of a request that the local target, in a life of that incarnation, was
    /// running broke. If it was the last one, the target is asked whether it has ended.
    void note_target_broke_off(std::uint64_t fingerprint, std::uint64_t life);
    /// As before, where nothing of the request had been sent, which therefore is not suspected.
    void note_target_connection_lost();
    /// Called before a request is sent to the local target.
    void note_target_connections();
    /// Which requests to the local target are nested calls.
    nested_call_detector &nested_calls() { return m_nested_calls; }
    /// Which share of callers' requests that came here was taken.
    admission_meter &meter() { return m_meter; }
    /// Which share of direct requests to the local target was taken, by all who send them.
    admission_level_aggregator &board() { return m_board; }
    /// What the services that the local target calls leave room for.
    dependency_admission &dependencies() { return m_dependencies; }
    /// Callers that were refused here and told when to come back.
    retry_detector &returning() { return m_returning; }
    void enter(timed_request *request) { m_requests.insert(request); }
    void leave(timed_request *request) { m_requests.erase(request); }
    /// Large bodies on their way to this node from others. Their senders wait to be asked, so that
    /// a slow link carries few at a time: else small requests would queue behind megabytes, and
    /// bodies that are refused in the end would have been carried for nothing.
    work_queue &body_turns() { return m_body_turns; }
    /// Gives the target, and the link, whatever may start now.
    void start_waiting(instant now);
    /// What this node tells others of its target's load, with the answer to a request on `route`.
    target_load load(const std::string &route) const;
    void expect_start(std::uint64_t id, std::function<void(bool start)> decide);
    void forget_start(std::uint64_t id) { m_starts.erase(id); }
    std::uint64_t next_id() { return ++m_last_id; }
    /// host:port for forwarded requests of the node with this peer address.
    std::string forward_address(const node_address &peer) const;
    /// What this node still takes if it was told to stop.
    const graceful_stop &stop() const { return m_stop; }
    /// Estimated time until this node, which stops, has been started again.
    duration returns_in(instant now) const;
    /// Targets of keys that can't be reached for now.
    unavailable_targets &unavailable() { return m_unavailable; }
    std::size_t in_flight() const { return m_requests.size(); }

private:
    pipelining_policy::request_kind kind_of(const http_head &head) const;
    void tick();
    void judge_refusal(moment at);
    bool connected_to(const std::string &address) const;
    void log_summary(instant now);
    void start_from(work_queue &queue, instant now);
    void step_stop(instant now);
    graceful_stop::open_work open_work();
    std::vector<header_field> refusal_headers(error_kind kind);
    void tell_other_nodes();
    void tell_end(instant now);
    void log_stop(const char *step, instant now);
    void wake_all(instant now);
    void apply_limits();
    void run_hold_calls(instant now);
    void note_hold_call(const hold_call &call, const hold_call_end &how);
    void probe_health(const std::string &address, std::function<void(const target_health &)> done);

    asio::io_context &m_io;
    traffic_options m_options;
    std::shared_ptr<byte_budget> m_held_bytes;
    http_client_pool m_pool;
    http_client_pool m_hold_pool; ///< for calls of holds alone
    target_selector m_selector;
    request_log m_log;
    request_log m_denials{{.lines_a_second = 10, .burst = 100}};
    request_log m_served{{.lines_a_second = 5, .burst = 50}};
    request_log m_refused_calls{{.lines_a_second = 10, .burst = 100}};
    traffic_metrics m_metrics;
    std::mt19937_64 m_random;
    nested_call_detector m_nested_calls;
    admission_meter m_meter;
    admission_level_aggregator m_board;
    dependency_admission m_dependencies;
    retry_detector m_returning;
    unavailable_targets m_unavailable;
    node_agent m_agent;
    hold_call_runner m_hold_calls;
    work_queue m_body_turns;
    struct service_retries {
        retry_budget all;
        retry_budget reruns;
    };
    service_retries &retries_of(const std::string &service);
    double saved_retries_now() const;
    std::unordered_map<std::string, service_retries> m_retries;
    std::set<timed_request *> m_requests;
    std::unordered_map<std::uint64_t, std::function<void(bool)>> m_starts;
    std::uint64_t m_last_id = 0;
    http_server m_callers;
    http_server m_nodes;
    read_delay_probe m_read_delay;
    instant m_probed_at{}; ///< when the last probe of the read delay was begun
    asio::steady_timer m_timer;
    std::string m_forward_port;
    std::string m_refused_address; ///< of a target that refused a connection; empty: none
    instant m_refused_attempt{};   ///< when that connection was begun to be made
    instant m_refused_at{};
    bool m_asking = false; ///< the target is being asked whether it has ended
    instant m_summary_at{};
    byte_stream::traffic m_bytes_told; ///< at the last summary
    bool m_changed = false; ///< what is known of the system has changed since the last step
    graceful_stop m_stop;
    instant m_started{};
    std::function<void()> m_stopped;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace peppertack
