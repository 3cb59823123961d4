#include "peppertack/transport/traffic/traffic_host.hpp"

#include "../wall_clock.hpp"
#include "entry_relay.hpp"
#include "peppertack/protocol/error_answer.hpp"
#include "peppertack/transport/json_log.hpp"
#include "target_relay.hpp"

#include <asio/post.hpp>
#include <nlohmann/json.hpp>

namespace peppertack {

namespace {

constexpr duration busy_tick = std::chrono::milliseconds(10);
/// The connections of a process that ends are closed within a few ms of each other.
constexpr duration refusal_lifetime = std::chrono::milliseconds(100);
constexpr duration summary_interval = std::chrono::seconds(1);
constexpr duration idle_tick = std::chrono::milliseconds(40);
/// Of the read delay. Far below the slack that callers have beyond a time-out.
constexpr duration probe_interval = std::chrono::milliseconds(50);
/// Requests that other nodes forward have been checked against the callers' limits already.
constexpr http_reader::limits forwarded_limits{.header_bytes = 128U << 10U,
                                               .body_bytes = 1U << 30U};
constexpr duration forwarded_idle = std::chrono::seconds(60);
/// Kept below `forwarded_idle`, so that no request meets a connection that is being closed.
constexpr duration pool_idle = std::chrono::seconds(30);

/// From the end of a process until the next one takes requests, where a supervisor restarts it.
constexpr duration restart_time = std::chrono::milliseconds(700);

/// Several round trips, and short enough that a call with an objective of 400 ms can still be made
/// to another target. A lost opening packet is sent again after a second only, too late in any
/// case.
constexpr duration connect_limit = std::chrono::milliseconds(150);

/// Parts of the descriptors up to which connections are taken: of callers, and of other nodes and
/// targets. The rest is for heartbeats, for peers and for files.
constexpr double callers_part = 0.625;
constexpr double nodes_part = 0.875;

std::size_t part_of(std::size_t descriptors, double part) {
    return static_cast<std::size_t>(static_cast<double>(descriptors) * part);
}

class health_probe_handler final : public http_response_handler {
public:
    /// `refused` is called before `done` if the address takes no connections, with when the attempt
    /// was begun.
    health_probe_handler(const traffic_headers &names, std::function<void(instant)> refused,
                         std::function<void(const target_health &)> done)
        : m_names(names), m_refused(std::move(refused)), m_done(std::move(done)) {}

    void on_response_head(http_head head) override {
        const std::string *name = head.find(m_names.target_name);
        m_found.name = name == nullptr ? std::string() : *name;
        const std::string *cold = head.find(m_names.cold_ms);
        const auto unstated = head.status == 200 ? std::optional(0.0) : std::nullopt; // it is warm
        const auto ms = cold == nullptr ? unstated : parse_number(*cold);
        if (ms) {
            m_found.cold_left = std::chrono::duration_cast<duration>(
                std::chrono::duration<double, std::milli>(*ms));
        }
    }
    void on_response_body(std::string_view) override {}
    void on_response_end() override { m_done(m_found); }
    void on_call_failed(call_failure why, const std::string &) override {
        if (why == call_failure::refused) {
            m_refused(m_call->connection_begun());
        }
        m_done({});
    }
    void keep(std::shared_ptr<http_call> call) { m_call = std::move(call); }

private:
    const traffic_headers &m_names;
    target_health m_found;
    std::function<void(instant)> m_refused;
    std::function<void(const target_health &)> m_done;
    std::shared_ptr<http_call> m_call;
};

} // namespace

traffic_host::traffic_host(asio::io_context &io, traffic_options options, node_agent::sender send)
    : m_io(io), m_options(std::move(options)),
      m_held_bytes(
          std::make_shared<byte_budget>(byte_budget::options{.limit = m_options.held_bytes})),
      m_pool(io, {.connect_timeout = connect_limit,
                  .idle_timeout = pool_idle,
                  .id_header = m_options.headers.request_id,
                  .most_streams = part_of(m_options.max_descriptors, nodes_part),
                  .budget = m_held_bytes}),
      m_hold_pool(io, {.connect_timeout = connect_limit,
                       .idle_timeout = pool_idle,
                       .most_streams = part_of(m_options.max_descriptors, nodes_part),
                       .budget = m_held_bytes}),
      m_selector(m_options.selector, m_options.node.seed), m_random(m_options.node.seed),
      m_agent(m_options, std::move(send),
              [this](const std::string &address, std::function<void(const target_health &)> done) {
                  probe_health(address, std::move(done));
              }),
      m_hold_calls(
          m_hold_pool, m_options.hold_format,
          {.write =
               [this](std::uint64_t id) { return m_agent.hold_call_written(id, steady_instant()); },
           .end = [this](const hold_call &call,
                         const hold_call_end &how) { note_hold_call(call, how); },
           .refused = [this](instant begun) { note_target_refused(begun); }}),
      m_body_turns({.limit = m_options.body_turns}),
      m_callers(
          io,
          {.address = m_options.caller_address,
           .most_streams = part_of(m_options.max_descriptors, callers_part),
           .limits_known = [this] { return m_agent.lease().routes_trusted(steady_instant()); },
           .kind_of = [this](const http_head &head) { return kind_of(head); },
           .budget = m_held_bytes},
          [this](const auto &exchange) { return entry_relay::make(*this, exchange); }),
      m_nodes(io,
              {.address = m_options.node_address,
               .limits = forwarded_limits,
               .idle_timeout = forwarded_idle,
               .most_streams = part_of(m_options.max_descriptors, nodes_part),
               .turned_away_headers = [this] { return refusal_headers(error_kind::node_full); },
               .continue_at_once = false,
               .budget = m_held_bytes},
              [this](const auto &exchange) { return target_relay::make(*this, exchange); }),
      m_read_delay(io,
                   [this](duration delay, instant now) { m_metrics.note_read_delay(delay, now); }),
      m_timer(io), m_stop(m_options.stop), m_started(steady_instant()) {
    const std::string &address = m_options.node_address;
    m_forward_port = address.substr(address.rfind(':'));
    m_agent.set_on_change([this] { m_changed = true; });
    m_agent.set_on_target_gone([this](const std::string &address) {
        // A request that is sent on a connection to a process that has ended is lost on its way,
        // and nobody can tell that it has not run.
        m_pool.forget(address);
        m_hold_pool.forget(address);
        m_changed = true;
    });
}

traffic_host::~traffic_host() = default;

bool traffic_host::start(std::string &reason) {
    if (!m_callers.start(reason) || !m_nodes.start(reason) || !m_read_delay.start(reason)) {
        return false;
    }
    tick();
    return true;
}

std::string traffic_host::forward_address(const node_address &peer) const {
    return peer.substr(0, peer.rfind(':')) + m_forward_port;
}

/// By the table in force: what it does not know, or takes once only, is handled in its turn.
pipelining_policy::request_kind traffic_host::kind_of(const http_head &head) const {
    using kind = pipelining_policy::request_kind;
    const std::string *host = head.find("Host");
    if (!m_options.policy.overlap_pipelined || host == nullptr) {
        return kind::exclusive;
    }
    const route *found = m_agent.routes().find(*host, head.path());
    if (found == nullptr || !may_repeat(found->repeat)) {
        return kind::exclusive;
    }
    return found->repeat == retry_policy::idempotent_large ? kind::idempotent_large
                                                           : kind::idempotent;
}

traffic_host::service_retries &traffic_host::retries_of(const std::string &service) {
    retry_budget::options all = m_options.retries;
    all.max_tokens = saved_retries_now();
    const service_retries fresh{retry_budget(all), retry_budget(m_options.reruns)};
    return m_retries.try_emplace(service, fresh).first->second;
}

double traffic_host::saved_retries_now() const {
    return retry_burst_per_node(m_options.retry_slack, m_agent.lease().map().targets().size(),
                                m_options.retries.max_tokens);
}

void traffic_host::note_request(const std::string &service) {
    service_retries &budget = retries_of(service);
    budget.all.note_request();
    budget.reruns.note_request();
}

bool traffic_host::take_retry(const std::string &service, bool rerun) {
    service_retries &budget = retries_of(service);
    return (!rerun || budget.reruns.tokens() >= 1) && budget.all.take() &&
           (!rerun || budget.reruns.take());
}

void traffic_host::receive(const node_address &from, const message &body) {
    const moment at = read_clocks();
    m_agent.receive(from, body, at);
    if (m_changed) {
        wake_all(at.now);
    }
}

void traffic_host::wake_all(instant now) {
    m_changed = false;
    apply_limits();
    m_selector.retain(m_agent.lease().map().targets());
    m_unavailable.retain(m_agent.lease().map().targets());
    for (auto &[service, budget] : m_retries) {
        budget.all.set_max_tokens(saved_retries_now());
    }
    const std::vector<timed_request *> all(m_requests.begin(), m_requests.end());
    for (timed_request *request : all) {
        if (m_requests.count(request) != 0) {
            request->on_time(now);
        }
    }
    start_waiting(now);
    run_hold_calls(now);
}

void traffic_host::run_hold_calls(instant now) {
    for (const std::uint64_t id : m_agent.overdue_hold_calls(now)) {
        m_hold_calls.lose(id);
    }
    const std::vector<hold_call> due = m_agent.due_hold_calls(now);
    m_hold_calls.keep_only([this](std::uint64_t id) { return m_agent.waits_for_hold_call(id); });
    for (const hold_call &call : due) {
        m_hold_calls.start(call, m_agent.target().address);
    }
}

std::string traffic_host::metrics_text() const {
    return m_metrics.text() + "peppertack_pipelined_overlapped_total " +
           std::to_string(m_callers.overlapped()) + "\npeppertack_held_answer_bytes " +
           std::to_string(m_callers.held_answer_bytes()) + "\npeppertack_held_bytes " +
           std::to_string(m_held_bytes->charged()) + "\npeppertack_held_bytes_limit " +
           std::to_string(m_held_bytes->limit()) + "\npeppertack_open_streams " +
           std::to_string(byte_stream::thread_open()) +
           "\npeppertack_connections_turned_away_total{side=\"callers\"} " +
           std::to_string(m_callers.turned_away()) +
           "\npeppertack_connections_turned_away_total{side=\"nodes\"} " +
           std::to_string(m_nodes.turned_away()) + "\n" + m_callers.ends().text("callers") +
           m_nodes.ends().text("nodes");
}

/// What follows from it is decided by the next event: this may be in the middle of a step.
void traffic_host::note_hold_call(const hold_call &call, const hold_call_end &how) {
    m_metrics.note_hold_call(call.what, how.result);
    m_agent.hold_call_ended(call.id, how, steady_instant());
    asio::post(m_io, [this, alive = std::weak_ptr(m_alive)] {
        if (!alive.expired()) {
            wake_all(steady_instant());
        }
    });
}

void traffic_host::apply_limits() {
    const caller_limits &limits = m_agent.lease().routes().limits;
    m_callers.set_limits({limits.header_bytes, limits.body_bytes}, limits.header_timeout,
                         limits.idle_timeout);
}

void traffic_host::tick() {
    const duration pause = m_requests.empty() && !m_stop.begun() ? idle_tick : busy_tick;
    const instant due = steady_instant() + pause;
    m_timer.expires_after(pause);
    m_timer.async_wait([this, due, alive = std::weak_ptr(m_alive)](asio::error_code error) {
        if (error || alive.expired()) {
            return;
        }
        const moment at = read_clocks();
        m_metrics.note_thread_delay(std::max(at.now - due, duration{}), at.now);
        if (!m_requests.empty() && at.now >= m_probed_at + probe_interval) {
            m_probed_at = at.now;
            m_read_delay.probe(at.now);
        }
        judge_refusal(at);
        m_agent.tick(at);
        wake_all(at.now);
        step_stop(at.now);
        log_summary(at.now);
        tick();
    });
}

/// Single requests have lines within a budget only: the causes of all are told by their counts.
void traffic_host::note_target_refused(instant attempt_begun) {
    if (m_agent.has_target()) {
        m_refused_attempt = attempt_begun;
        m_refused_address = m_agent.target().address;
        m_refused_at = steady_instant();
        judge_refusal(read_clocks());
    }
}

void traffic_host::note_target_broke_off(std::uint64_t fingerprint, std::uint64_t life) {
    m_agent.run_unanswered(fingerprint, life, steady_instant());
    note_target_connection_lost();
}

void traffic_host::note_target_connection_lost() {
    note_target_connections();
    if (m_asking || !m_agent.has_target() || connected_to(m_agent.target().address)) {
        return;
    }
    // Without this the end of a target that is seldom asked is known only when another has taken
    // its address.
    m_asking = true;
    probe_health(m_agent.target().address, [this](const target_health &) { m_asking = false; });
}

void traffic_host::note_target_connections() {
    if (m_agent.has_target() && !connected_to(m_agent.target().address)) {
        m_agent.target_disconnected(steady_instant());
    }
}

/// Whether the target beside the node, at that address, keeps a connection open.
bool traffic_host::connected_to(const std::string &address) const {
    return m_pool.established_to(address) + m_hold_pool.established_to(address) != 0;
}

void traffic_host::judge_refusal(moment at) {
    const bool same = m_agent.has_target() && m_agent.target().address == m_refused_address;
    if (m_refused_address.empty()) {
        return;
    }
    if (same && !m_agent.target_leaving() && !connected_to(m_refused_address)) {
        m_refused_address.clear();
        m_agent.target_refused(m_refused_attempt, at);
    } else if (!same || at.now > m_refused_at + refusal_lifetime) {
        m_refused_address.clear();
    }
}

void traffic_host::log_summary(instant now) {
    if (now < m_summary_at + summary_interval) {
        return;
    }
    m_summary_at = now;
    const auto causes = m_metrics.take_answers_by_cause();
    if (causes.empty()) {
        return;
    }
    const admission_level admitted = m_dependencies.level(now);
    const work_queue &queue = m_agent.queue();
    const byte_stream::traffic bytes = byte_stream::thread_traffic();
    const byte_stream::traffic before = std::exchange(m_bytes_told, bytes);
    log_event(
        log_level::info, "traffic_summary",
        {{"answers", causes},
         {"in_flight", queue.in_flight()},
         {"waiting", queue.waiting()},
         {"slots", queue.limit()},
         {"service_ms",
          std::chrono::duration_cast<std::chrono::milliseconds>(queue.mean_service_time()).count()},
         {"target_limit", queue.rate().value_or(0)},
         {"admitted_fresh", admitted.fresh},
         {"admitted_expired", admitted.expired},
         {"limited_by", m_dependencies.limiting_route(now)},
         {"calls_expendable", m_dependencies.calls_expendable()},
         {"overlapped", m_callers.overlapped()},
         {"held_answer_bytes", m_callers.held_answer_bytes()},
         {"bytes_read", bytes.read - before.read},
         {"bytes_written", bytes.written - before.written}});
}

void traffic_host::expect_start(std::uint64_t id, std::function<void(bool)> decide) {
    m_starts[id] = std::move(decide);
}

void traffic_host::start_waiting(instant now) {
    start_from(m_agent.queue(), now);
    start_from(m_body_turns, now);
}

target_load traffic_host::load(const std::string &route) const {
    target_load result = m_agent.load();
    result.route_time = m_agent.queue().measured_service_time(route).value_or(duration{});
    result.body_wait = m_body_turns.retry_after();
    return result;
}

void traffic_host::start_from(work_queue &queue, instant now) {
    while (true) {
        std::vector<std::uint64_t> hopeless;
        const auto next = queue.next(now, hopeless);
        for (const std::uint64_t id : hopeless) {
            if (auto found = m_starts.extract(id)) {
                found.mapped()(false);
            }
        }
        if (!next) {
            return;
        }
        if (auto found = m_starts.extract(*next)) {
            found.mapped()(true);
        }
    }
}

void traffic_host::probe_health(const std::string &address,
                                std::function<void(const target_health &)> done) {
    http_head head;
    head.method = "GET";
    const auto &services = m_agent.lease().routes().services;
    const auto service = services.find(m_options.service);
    head.target = service == services.end() || service->second.health_path.empty()
                      ? "/healthz"
                      : service->second.health_path;
    head.headers = {{"Host", address}};
    // The handler lives until it has been told the end.
    auto handler = std::make_shared<std::shared_ptr<health_probe_handler>>();
    *handler = std::make_shared<health_probe_handler>(
        m_options.headers,
        [this, address](instant begun) {
            if (m_agent.has_target() && m_agent.target().address == address) {
                note_target_refused(begun);
            }
        },
        [this, handler, done = std::move(done)](const target_health &found) {
            done(found);
            asio::post(m_io, [handler] { handler->reset(); });
        });
    const auto call = m_pool.start(address, head, *handler, true);
    (*handler)->keep(call);
    call->request_done();
}

void traffic_host::begin_stop(std::function<void()> done) {
    if (m_stop.begun()) {
        return;
    }
    m_stop.begin(steady_instant());
    m_stopped = std::move(done);
    m_callers.begin_drain();
    m_agent.begin_stop(read_clocks());
}

/// Requests that wait for another node, or for a target that is gone, would only see their
/// connections closed: of 30 nodes stopped together 60 callers in 8 s got no answer at all.
void traffic_host::tell_end(instant now) {
    const std::vector<timed_request *> all(m_requests.begin(), m_requests.end());
    for (timed_request *request : all) {
        if (m_requests.count(request) != 0) {
            request->on_process_end(now);
        }
    }
}

void traffic_host::log_stop(const char *step, instant now) {
    const auto passed = std::chrono::duration_cast<std::chrono::milliseconds>(m_stop.elapsed(now));
    log_event(log_level::info, "stop_step",
              {{"step", step},
               {"in_flight", m_requests.size()},
               {"callers", m_callers.busy()},
               {"running", m_agent.queue().in_flight()},
               {"waiting", m_agent.queue().waiting()},
               {"connections", m_nodes.open_streams()},
               {"caller_connections", m_callers.open_streams()},
               {"unsent", m_callers.unsent() + m_nodes.unsent()},
               {"after_ms", passed.count()}});
}

graceful_stop::open_work traffic_host::open_work() {
    const auto callers =
        std::count_if(m_requests.begin(), m_requests.end(),
                      [](const timed_request *item) { return item->awaited_by_caller(); });
    return {.callers = static_cast<std::size_t>(callers),
            .requests = m_requests.size(),
            .unsent = m_callers.unsent() + m_nodes.unsent(),
            .connections = m_nodes.open_streams()};
}

/// Tells another node that a request was refused unread: without this it may have run.
std::vector<header_field> traffic_host::refusal_headers(error_kind kind) {
    const hop_reply refusal{.load = load({}), .refused = kind};
    return {{std::string(hop_header), encode(refusal)}};
}

/// A request that crosses the end of its connection could not be told from one that has run: other
/// nodes are told on each connection that nothing more is taken.
void traffic_host::tell_other_nodes() {
    const hop_reply refusal{.load = load({}),
                            .refused = error_kind::draining,
                            .retry_after = returns_in(steady_instant())};
    m_nodes.refuse_further(answer_for(error_kind::draining).status,
                           {{std::string(hop_header), encode(refusal)}});
}

duration traffic_host::returns_in(instant now) const {
    return m_stop.remaining(m_agent.queue().mean_service_time(), now) + restart_time;
}

void traffic_host::step_stop(instant now) {
    if (!m_stop.begun() || !m_stopped) {
        return;
    }
    if (m_stop.take_give_up(now)) {
        log_stop("unfinished_given_up", now);
        tell_end(now);
    }
    const graceful_stop::phase before = m_stop.current();
    const graceful_stop::phase after = m_stop.advance(open_work(), now);
    if (after == before) {
        return;
    }
    log_stop(name_of(after), now);
    if (before < graceful_stop::phase::closing && after >= graceful_stop::phase::closing) {
        tell_other_nodes();
    }
    if (after == graceful_stop::phase::ended) {
        m_callers.stop_accepting();
        std::exchange(m_stopped, nullptr)();
    }
}

} // namespace peppertack
