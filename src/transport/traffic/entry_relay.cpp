#include "entry_relay.hpp"

#include "../wall_clock.hpp"
#include "peppertack/coordination/routes_wait.hpp"
#include "peppertack/protocol/error_answer.hpp"
#include "peppertack/state/key_hash.hpp"
#include "peppertack/transport/json_log.hpp"

#include <cmath>
#include <nlohmann/json.hpp>

namespace peppertack {

namespace {

constexpr const char *problem_type = "application/problem+json";
/// Pause before a target whose node could not be reached, or did not own the key, is asked again:
/// the map learns of most changes sooner, and wakes the request.
constexpr duration park_interval = std::chrono::milliseconds(40);
/// Targets tried one after the other for a request that none has taken. More would mean that the
/// service is full, and that the news of it has not come yet.
constexpr std::size_t most_refusals = 3;
/// Time to come back where nothing better is known: a lease renewal and an election both fit.
constexpr duration usual_retry_after = std::chrono::milliseconds(250);
/// A node that stops is mostly back about as much later.
constexpr duration restart_time = std::chrono::seconds(2);
/// Until then an operator may have cleared the request; by itself a quarantine ends much later.
constexpr duration quarantine_retry_after = std::chrono::seconds(60);
constexpr int first_failure_status = 500;
constexpr int unavailable = 503;

std::string seconds_text(duration value) {
    const auto ms = std::max<std::int64_t>(
        1, std::chrono::duration_cast<std::chrono::milliseconds>(value).count());
    std::string fraction = std::to_string(ms % 1000);
    return std::to_string(ms / 1000) + "." + std::string(3 - fraction.size(), '0') + fraction;
}

std::int64_t ms_of(duration value) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

/// Whether a request was rejected since the service, or one that it calls, can't carry more.
bool lacks_room(error_kind kind) {
    return kind == error_kind::overloaded || kind == error_kind::dependency_overloaded ||
           kind == error_kind::no_target_left;
}

} // namespace

std::shared_ptr<entry_relay> entry_relay::make(traffic_host &host,
                                               const std::shared_ptr<http_exchange> &caller) {
    auto relay = std::make_shared<entry_relay>(host, caller);
    relay->begin();
    return relay;
}

entry_relay::entry_relay(traffic_host &host, const std::shared_ptr<http_exchange> &caller)
    : m_host(host), m_caller(caller),
      m_body(*caller, host.options().retained_body, host.options().held_back),
      m_received(caller->received()), m_begun(steady_instant()) {
    m_host.enter(this);
}

entry_relay::~entry_relay() {
    m_host.leave(this);
}

void entry_relay::begin() {
    m_asked = m_received;
    m_deadline = m_received + m_host.options().node.owner_wait;
    m_objective = m_deadline;
    if (const std::string *id = m_caller->request().find(m_host.options().headers.request_id)) {
        m_id = *id;
    }
    if (m_host.agent().ready()) {
        admit();
        return;
    }
    const std::string *text = m_caller->request().find(m_host.options().headers.deadline_ms);
    const auto stated_wait = text == nullptr ? std::nullopt : parse_decimal(*text);
    const duration caller_waits =
        stated_wait ? std::chrono::milliseconds(*stated_wait) : m_host.options().node.owner_wait;
    m_routes_limit = routes_wait_limit(m_host.started(), m_host.options().routes_startup,
                                       m_received, caller_waits);
    m_awaits_routes = true;
    await_routes(m_begun);
}

void entry_relay::await_routes(instant now) {
    const bool ready = m_host.agent().ready();
    if (!ready && now < m_routes_limit) {
        return;
    }
    if (!ready) {
        refuse(error_kind::not_ready, outcome::not_run, usual_retry_after);
        return;
    }
    m_awaits_routes = false;
    admit();
    if (!m_done && m_body.sendable()) {
        dispatch(now);
    }
}

/// Precondition: the node has a routing table.
void entry_relay::admit() {
    if (!read_route() || !read_key()) {
        return;
    }
    if (!m_host.stop().takes_from_caller(m_nested, m_deadline, m_begun)) {
        refuse(error_kind::draining, outcome::not_run, restart_time);
        return;
    }
    if (!m_body.admitted()) {
        refuse(error_kind::node_full, outcome::not_run, usual_retry_after);
        return;
    }
    if (m_begun >= m_deadline) {
        // It waited behind others on its connection for as long as its caller waits.
        refuse(error_kind::deadline_before_target, outcome::not_run, usual_retry_after);
        return;
    }
    m_host.note_request(m_service);
    m_host.meter().record_offered(admission(), m_begun);
}

bool entry_relay::read_route() {
    const http_head &head = m_caller->request();
    const std::string *host = head.find("Host");
    const route *found =
        host == nullptr ? nullptr : m_host.agent().routes().find(*host, head.path());
    if (host == nullptr) {
        refuse(error_kind::malformed_request, outcome::not_run, {});
        return false;
    }
    if (found == nullptr) {
        deny_by_table(error_kind::no_route);
        return false;
    }
    m_route = *found;
    m_service = pick_service();
    m_nested = m_host.dependencies().calls(m_route.name, m_begun);
    m_objective = m_received + m_route.latency_objective;
    m_deadline = m_received + m_route.timeout;
    if (const std::string *text = head.find(m_host.options().headers.deadline_ms)) {
        const auto patience = parse_decimal(*text);
        if (!patience) {
            refuse(error_kind::malformed_request, outcome::not_run, {});
            return false;
        }
        m_caller_deadline = m_received + std::chrono::milliseconds(*patience);
        m_deadline = std::min(m_deadline, m_caller_deadline);
        const bool recognise = m_host.options().policy.retry_recognition;
        const auto asked = recognise
                               ? m_host.returning().take(m_route.name, m_caller_deadline, m_begun)
                               : std::nullopt;
        m_asked = asked.value_or(m_received);
    }
    return true;
}

bool entry_relay::read_key() {
    const auto &services = m_host.agent().lease().routes().services;
    const auto service = services.find(m_service);
    if (service == services.end() || !service->second.keyed) {
        return true;
    }
    const std::string *text = m_caller->request().find(m_host.options().headers.key);
    const auto number = text == nullptr ? std::nullopt : parse_decimal(*text);
    if (!number || *number > max_ordered_key) {
        deny_by_table(error_kind::malformed_request); // another table may ask for no key
        return false;
    }
    m_key = static_cast<std::uint32_t>(*number);
    return true;
}

/// A caller takes a 4xx for good. A table that may have been replaced since, as on a node that is
/// cut off from the voters, can't say so: nodes denied routes that had been in force for 9.7 s.
void entry_relay::deny_by_table(error_kind kind) {
    const bool trusted = m_host.agent().lease().routes_trusted(m_begun);
    refuse(trusted ? kind : error_kind::not_ready, outcome::not_run, usual_retry_after);
}

std::string entry_relay::pick_service() const {
    double total = 0;
    for (const weighted_service &part : m_route.split) {
        total += part.weight;
    }
    double draw = std::uniform_real_distribution<double>(0, total)(m_host.random());
    for (const weighted_service &part : m_route.split) {
        if (draw < part.weight) {
            return part.service;
        }
        draw -= part.weight;
    }
    return m_route.split.back().service;
}

void entry_relay::on_request_body(std::string_view piece) {
    if (m_done) {
        return;
    }
    const bool enough = m_body.take(piece);
    if (m_body.beyond_budget()) {
        const auto self = shared_from_this();
        refuse(error_kind::node_full, outcome::not_run, usual_retry_after);
    } else if (enough && may_dispatch()) {
        dispatch(steady_instant());
    }
}

void entry_relay::on_request_end() {
    if (m_done) {
        return;
    }
    m_body.note_end();
    if (may_dispatch()) {
        dispatch(steady_instant());
    }
}

void entry_relay::on_caller_gone() {
    if (m_done) {
        return;
    }
    m_host.metrics().note_cancelled();
    log_end(answer_for(error_kind::cancelled).status, error_kind::cancelled, steady_instant());
    done();
}

/// How far the request has come, for people.
const char *entry_relay::phase_name() const {
    if (m_passing_on) {
        return "answer_half_sent";
    }
    if (m_call) {
        return m_call->sent() ? "sent" : "connecting";
    }
    if (m_awaits_routes) {
        return "awaiting_routes";
    }
    return m_parked ? "parked" : "receiving";
}

void entry_relay::on_caller_drained() {
    if (m_call) {
        m_call->pause_answer(false);
    }
}

// ---- finding a target ----

target_number entry_relay::choose(instant now) {
    if (m_key) {
        const range_record *range =
            m_host.agent().lease().map().find_range(m_service, ordered_key_hash(*m_key));
        return range == nullptr ? no_target : range->owner;
    }
    const target_selector::request_shape shape{.large_body = large_body(), .route = m_route.name};
    return m_host.selector().choose(m_host.agent().serving(m_service), shape, m_tried, now);
}

/// A body beyond what is kept counts by its beginning.
std::uint64_t entry_relay::fingerprint() const {
    const http_head &head = m_caller->request();
    const std::string *host = head.find("Host");
    const std::string place = (host == nullptr ? std::string() : *host) + head.target;
    const std::string_view kept = m_body.prefix();
    return request_fingerprint(head.method, place, kept);
}

void entry_relay::dispatch(instant now) {
    m_parked = false;
    if (m_fingerprint == 0) {
        m_fingerprint = fingerprint();
    }
    if (m_host.agent().lease().suspects().is_quarantined(m_fingerprint)) {
        refuse(error_kind::quarantined, outcome::not_run, quarantine_retry_after);
        return;
    }
    const target_number number = choose(now);
    const target_route *target = m_host.agent().lease().map().find_target(number);
    if (target == nullptr) {
        const bool evacuated = m_host.agent().all_evacuated(m_service);
        if (!m_key && (!m_tried.empty() || evacuated)) {
            refuse(m_parked_for == error_kind::none ? error_kind::no_target_left : m_parked_for,
                   outcome::not_run, usual_retry_after);
            return;
        }
        park(m_key ? error_kind::no_owner : error_kind::no_target_left, now);
        return;
    }
    if (m_key && m_host.agent().all_evacuated(m_service) &&
        m_host.agent().evacuation_in_force(target->failure_domain, now)) {
        refuse(error_kind::no_owner, outcome::not_run, usual_retry_after);
        return;
    }
    const auto gone = m_key ? m_host.unavailable().absent(number, m_deadline, now) : std::nullopt;
    if (gone) {
        await_return(*gone, now);
        return;
    }
    send_to(*target, now);
}

void entry_relay::send_to(const target_route &target, instant now) {
    const traffic_headers &names = m_host.options().headers;
    http_head head;
    head.method = m_caller->request().method;
    head.target = m_caller->request().target;
    head.headers = forwarded_headers(m_caller->request());
    remove_header(head.headers, hop_header);
    set_header(head.headers, names.caller_service, m_host.options().service);
    const hop_request hop{.target = target.number,
                          .service = m_service,
                          .route = m_route.name,
                          .priority = m_route.priority,
                          .repeat = m_arrivals > 0,
                          .first_choice = m_tried.empty(),
                          .expendable = m_host.dependencies().calls_expendable(),
                          .admitted = m_host.meter().share(admission(), now),
                          .key = m_key,
                          .fingerprint = m_fingerprint,
                          .objective_left = m_asked + m_route.latency_objective - now,
                          .time_left = m_deadline - now};
    head.headers.push_back({std::string(hop_header), encode(hop)});
    m_body.frame(head);
    const bool elsewhere = target.address != m_host.options().node.self;
    const bool announced = elsewhere && large_body();
    if (announced) {
        set_header(head.headers, "Expect", "100-continue");
    }
    m_target = target.number;
    m_target_name = target.name;
    m_sent = now;
    m_hop_known = false;
    m_answer_body.clear();
    m_host.selector().record_sent(m_target);
    m_address = m_host.forward_address(target.address);
    m_call = m_host.pool().start(m_address, head, weak_from_this());
    m_body.attach(m_call, announced);
}

admission_class entry_relay::admission() const {
    return {m_route.name, m_asked + m_route.latency_objective <= m_begun};
}

bool entry_relay::large_body() const {
    return m_body.kept() > m_host.options().announced_body;
}

instant entry_relay::park_limit() const {
    const auto part =
        static_cast<double>(m_route.latency_objective.count()) * m_host.options().parked_part;
    return m_received + duration(static_cast<duration::rep>(part));
}

/// Waits for the map to change, for a part of the objective: a planned move takes about as long.
void entry_relay::park(error_kind kind, instant now) {
    m_parked_for = kind;
    if (now >= park_limit() || now >= m_deadline) {
        refuse(kind, outcome::not_run, usual_retry_after);
        return;
    }
    m_parked = true;
    m_retry_at = now + park_interval;
}

/// Waits for a node that is restarted if it may be back in time, or refuses at once.
void entry_relay::await_return(const unavailable_targets::absence &gone, instant now) {
    if (gone.expected > park_limit()) {
        refuse(gone.cause, outcome::not_run, gone.expected - now);
    } else {
        park(gone.cause, now);
    }
}

/// Whether the present attempt may have brought any byte of the request to a target. If not, `done`
/// ensures that it never does.
bool entry_relay::may_be_at_target() const {
    return m_call && m_call->sent() && !m_body.held();
}

void entry_relay::on_time(instant now) {
    if (m_done) {
        return;
    }
    const auto self = shared_from_this();
    if (now >= m_deadline) {
        if (m_passing_on) {
            m_caller->abort();
            done();
        } else if (m_call) {
            m_host.selector().record_outcome(m_target, call_outcome::failed, now);
            if (may_be_at_target()) {
                refuse(error_kind::deadline_after_target, outcome::unknown, {});
            } else {
                refuse(error_kind::deadline_before_target, outcome::not_run, usual_retry_after);
            }
        } else {
            refuse(error_kind::deadline_before_target, outcome::not_run, usual_retry_after);
        }
    } else if (m_awaits_routes) {
        await_routes(now);
    } else if (m_parked && now >= m_retry_at) {
        dispatch(now);
    }
}

void entry_relay::on_process_end(instant now) {
    if (m_done || m_passing_on) {
        return;
    }
    const auto self = shared_from_this();
    if (may_be_at_target()) {
        refuse(error_kind::target_lost, outcome::unknown, {});
    } else {
        refuse(error_kind::draining, outcome::not_run, m_host.returns_in(now));
    }
}

// ---- the answer ----

void entry_relay::on_response_head(http_head head) {
    const instant now = steady_instant();
    const std::string *hop = head.find(hop_header);
    const auto told = hop == nullptr ? std::nullopt : decode_hop_reply(*hop);
    m_hop_known = told.has_value();
    m_hop = told.value_or(hop_reply{});
    if (m_hop_known) {
        m_host.selector().record_load(m_target, m_hop.load, now, m_route.name);
    }
    if (m_key && m_hop_known && m_hop.refused != error_kind::draining) {
        m_host.unavailable().record_present(m_target);
    }
    if (m_hop.level && m_hop.refused == error_kind::none) {
        m_host.dependencies().record_accepted(m_route.name, *m_hop.level, now);
    }
    m_answer = std::move(head);
    remove_header(m_answer.headers, hop_header);
    const bool ran = m_hop_known && m_hop.refused == error_kind::none && !m_hop.may_have_run;
    if (ran && m_answer.framing == body_framing::length &&
        m_answer.content_length > m_host.options().buffered_answer) {
        begin_passing_on();
    }
}

void entry_relay::on_response_body(std::string_view piece) {
    if (!m_passing_on) {
        m_answer_body.append(piece);
        if (m_answer_body.size() > m_host.options().buffered_answer) {
            begin_passing_on();
        }
        return;
    }
    m_caller->send_body(piece);
    if (m_caller->backlogged(m_host.options().held_back)) {
        m_call->pause_answer(true);
    }
}

void entry_relay::begin_passing_on() {
    m_passing_on = true;
    http_head head;
    head.status = m_answer.status;
    head.headers = forwarded_headers(m_answer);
    head.framing =
        m_answer.framing == body_framing::length ? body_framing::length : body_framing::chunked;
    head.content_length = m_answer.content_length;
    m_caller->send_head(std::move(head));
    m_caller->send_body(std::exchange(m_answer_body, {}));
}

void entry_relay::on_response_end() {
    if (m_done) {
        return;
    }
    const auto self = shared_from_this();
    const instant now = steady_instant();
    const bool held = m_body.held();
    m_body.detach();
    m_call.reset();
    if (!m_hop_known) {
        m_host.selector().record_outcome(m_target, call_outcome::failed, now);
        if (held) {
            after_not_run(error_kind::owner_unreachable, usual_retry_after, now);
        } else {
            after_unknown(error_kind::target_lost, now);
        }
    } else if (m_hop.refused != error_kind::none) {
        // A full target does its part; one that is gone does not.
        // Nor does one whose node knows no target, or another one than was meant: it looks idle,
        // and would be sent request after request.
        const bool gone = m_hop.refused == error_kind::target_unreachable ||
                          m_hop.refused == error_kind::owner_unreachable ||
                          m_hop.refused == error_kind::not_ready ||
                          m_hop.refused == error_kind::draining ||
                          m_hop.refused == error_kind::not_owner;
        m_host.selector().record_outcome(
            m_target, gone ? call_outcome::unreachable : call_outcome::served, now);
        after_not_run(m_hop.refused, m_hop.retry_after, now);
    } else if (m_hop.may_have_run) {
        m_host.selector().record_outcome(m_target, call_outcome::failed, now);
        after_unknown(error_kind::target_lost, now);
    } else {
        const bool failed = m_answer.status >= first_failure_status;
        m_host.selector().record_outcome(m_target,
                                         failed ? call_outcome::failed : call_outcome::served, now);
        ++m_arrivals;
        if (!retry_executed_nowhere(now)) {
            pass_on();
        }
    }
}

/// The target answered that it did not run the request. Another may: that costs the budget, since
/// the request has arrived at a target, but nothing else.
bool entry_relay::retry_executed_nowhere(instant now) {
    const bool not_run = m_answer.status >= 400 && !m_passing_on &&
                         m_answer.find(m_host.options().headers.not_executed) != nullptr;
    if (!not_run || m_arrivals >= m_route.max_attempts || !m_body.replayable() ||
        now + m_hop.load.service_time > m_objective ||
        !m_host.take_retry(m_service, m_may_have_run)) {
        return false;
    }
    m_host.metrics().note_retry();
    m_tried.insert(m_target);
    dispatch(now);
    return true;
}

void entry_relay::pass_on() {
    const instant now = steady_instant();
    const bool promise = m_answer.find(m_host.options().headers.not_executed) != nullptr;
    if (promise && m_may_have_run && !m_passing_on) {
        refuse(error_kind::target_lost, outcome::unknown, {}); // true of this target only
        return;
    }
    log_end(m_answer.status, error_kind::none, now);
    m_host.metrics().note_answer(m_route.name, m_answer.status, error_kind::none, now - m_received);
    if (m_answer.status < 400 && now > m_asked + m_route.latency_objective) {
        m_host.metrics().note_late(m_route.name, m_asked != m_received);
    }
    if (m_passing_on) {
        m_caller->finish();
    } else {
        m_caller->respond(m_answer.status, forwarded_headers(m_answer), m_answer_body);
    }
    done();
}

void entry_relay::on_call_failed(call_failure why, const std::string &reason) {
    if (m_done) {
        return;
    }
    const auto self = shared_from_this();
    const instant now = steady_instant();
    const bool held = m_body.held();
    m_body.detach();
    m_call.reset();
    const bool connected = why != call_failure::not_connected && why != call_failure::refused;
    m_host.selector().record_outcome(
        m_target, connected ? call_outcome::failed : call_outcome::unreachable, now);
    m_host.log().note("attempt_failed",
                      {{"request", m_id},
                       {"target", m_target_name},
                       {"reason", reason},
                       {"stopping_ms", ms_of(m_host.stop().elapsed(now))},
                       {"after_ms", ms_of(now - m_sent)}},
                      now);
    if (m_passing_on) {
        m_caller->abort();
        done();
    } else if (sent_nothing(why) || held) {
        if (!connected && m_key && m_host.pool().established_to(m_address) == 0) {
            m_host.unavailable().record_absent(m_target, {error_kind::owner_unreachable, {}},
                                               m_deadline, now);
        }
        after_not_run(error_kind::owner_unreachable, usual_retry_after, now);
    } else {
        after_unknown(error_kind::target_lost, now);
    }
}

void entry_relay::after_not_run(error_kind kind, duration retry_after, instant now) {
    m_tried.insert(m_target);
    m_parked_for = kind;
    if (kind == error_kind::quarantined) {
        refuse(kind, outcome::not_run, quarantine_retry_after);
    } else if (kind == error_kind::deadline_before_target) {
        // Hardly any time is left: on the next attempt it could end without a certain result.
        refuse(kind, outcome::not_run, retry_after);
    } else if (!m_body.replayable() || kind == error_kind::dependency_overloaded) {
        refuse(kind, outcome::not_run, retry_after);
    } else if (!m_key && m_tried.size() < most_refusals && now < m_objective) {
        dispatch(now);
    } else if (m_key && kind == error_kind::draining) {
        const unavailable_targets::absence gone{.cause = kind, .expected = now + retry_after};
        m_host.unavailable().record_absent(m_target, gone, m_deadline, now);
        await_return(gone, now);
    } else if (m_key && kind != error_kind::overloaded && kind != error_kind::node_full) {
        park(kind, now);
    } else {
        // Other targets of the service have not said that they stop.
        refuse(kind, outcome::not_run,
               kind == error_kind::draining ? usual_retry_after : retry_after);
    }
}

void entry_relay::after_unknown(error_kind kind, instant now) {
    ++m_arrivals;
    m_may_have_run = true;
    m_tried.insert(m_target);
    const bool again = may_repeat(m_route.repeat) && m_body.replayable() &&
                       m_arrivals < m_route.max_attempts &&
                       !m_host.agent().lease().suspects().suspects(m_fingerprint) &&
                       now + m_hop.load.service_time < m_deadline;
    if (!again || !m_host.take_retry(m_service, true)) {
        refuse(kind, outcome::unknown, {});
        return;
    }
    m_host.metrics().note_retry();
    dispatch(now);
}

void entry_relay::refuse(error_kind kind, outcome result, duration retry_after) {
    const instant now = steady_instant();
    // That the last attempt did not run says nothing of an earlier one whose end is not known.
    if (m_may_have_run && result == outcome::not_run) {
        result = outcome::unknown;
        kind = error_kind::target_lost;
    }
    if (lacks_room(kind)) {
        m_host.meter().record_rejected(admission(), now);
        m_host.dependencies().record_rejected(m_route.name, m_hop.level, now);
        // Sooner there is hardly room, and one that comes back can't be in time any more.
        retry_after = std::max(retry_after, m_route.latency_objective);
    }
    const error_answer &answer = answer_for(kind);
    const bool promise = result == outcome::not_run;
    // What has not run is told by a status that promises it, so that the caller may send it again.
    const int status =
        promise && answer.status >= first_failure_status ? unavailable : answer.status;
    std::vector<header_field> headers{{"Content-Type", problem_type}};
    if (!m_id.empty()) {
        headers.push_back({m_host.options().headers.request_id, m_id});
    }
    if (promise && status == unavailable) {
        // Spread, so that those refused together do not come back together.
        const double factor = std::uniform_real_distribution<double>(0.7, 1.6)(m_host.random());
        const auto pause = static_cast<double>(std::max(retry_after, duration(1000)).count());
        headers.push_back(
            {"Retry-After", seconds_text(duration(static_cast<duration::rep>(pause * factor)))});
        m_host.returning().record_refusal(m_route.name, m_caller_deadline, m_asked, now);
    }
    if (status < first_failure_status) {
        log_denial(status, kind, now);
    } else {
        log_end(status, kind, now);
    }
    m_host.metrics().note_answer(m_route.name, status, kind, now - m_received);
    const auto caller = m_caller;
    done();
    caller->respond(status, std::move(headers), problem_json(kind, {}, result));
}

void entry_relay::done() {
    m_done = true;
    m_parked = false;
    m_body.detach();
    if (m_call) {
        m_call->cancel();
        m_call.reset();
    }
}

/// A request that is told to be wrong is mostly not sent again: on knowledge of what version and
/// age this node decided that has to be told from one line.
void entry_relay::log_denial(int status, error_kind kind, instant now) {
    const std::string *host = m_caller->request().find("Host");
    const lease_client &known = m_host.agent().lease();
    const bool confirmed = known.routes_confirmed_at() != instant{};
    m_host.denials().note(
        "request_denied",
        {{"request", m_id},
         {"status", status},
         {"kind", answer_for(kind).name},
         {"host", host == nullptr ? std::string() : *host},
         {"path", std::string(m_caller->request().path())},
         {"route", m_route.name},
         {"service", m_service},
         {"routes_version", known.routes().version},
         {"routes_age_ms", confirmed ? ms_of(now - known.routes_confirmed_at()) : -1},
         {"map_version", known.map().version()}},
        now);
}

void entry_relay::log_end(int status, error_kind kind, instant now) {
    if (kind == error_kind::none && status < 400 && m_tried.empty()) {
        return;
    }
    const bool served = kind == error_kind::none && status < 400;
    request_log &log = served ? m_host.served() : m_host.log();
    log.note("request_ended",
             {{"request", m_id},
              {"status", status},
              {"kind", answer_for(kind).name},
              {"phase", phase_name()},
              {"failure", answer_for(m_hop.failure).name},
              {"stopping_ms", ms_of(m_host.stop().elapsed(now))},
              {"route", m_route.name},
              {"service", m_service},
              {"priority", m_route.priority},
              {"objective_ms", ms_of(m_route.latency_objective)},
              {"content", fingerprint_text(m_fingerprint)},
              {"key", m_key ? static_cast<std::int64_t>(*m_key) : -1},
              {"target", m_target_name},
              {"tried", m_tried.size()},
              {"waiting", m_hop.load.waiting},
              {"in_flight", m_hop.load.in_flight},
              {"took_ms", ms_of(now - m_received)},
              {"first_asked_ms", ms_of(now - m_asked)},
              {"ahead", m_caller->ahead()},
              {"waited_unread_ms", ms_of(m_begun - m_received)},
              {"map_version", m_host.agent().lease().map().version()},
              {"routes_version", m_host.agent().lease().routes().version}},
             now);
}

} // namespace peppertack
