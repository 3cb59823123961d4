#include "target_relay.hpp"

#include "../wall_clock.hpp"
#include "peppertack/coordination/waiting_limit.hpp"
#include "peppertack/protocol/error_answer.hpp"
#include "peppertack/state/key_hash.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace peppertack {

namespace {

/// The sender gives up at the deadline too, and says so to the caller; ending the work a little
/// later lets an answer that is ready at the last moment still pass.
constexpr duration deadline_slack = std::chrono::milliseconds(30);
/// Of a target: it does not hold the request's key.
constexpr int misdirected_status = 421;
constexpr int first_failure_status = 500;
constexpr duration usual_retry_after = std::chrono::milliseconds(250);

std::int64_t ms_of(duration value) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

} // namespace

std::shared_ptr<target_relay> target_relay::make(traffic_host &host,
                                                 const std::shared_ptr<http_exchange> &sender) {
    auto relay = std::make_shared<target_relay>(host, sender);
    relay->begin();
    return relay;
}

target_relay::target_relay(traffic_host &host, const std::shared_ptr<http_exchange> &sender)
    : m_host(host), m_sender(sender),
      m_body(*sender, host.options().retained_body, host.options().held_back), m_id(host.next_id()),
      m_received(steady_instant()) {
    m_host.enter(this);
}

target_relay::~target_relay() {
    m_host.leave(this);
}

void target_relay::begin() {
    const http_head &head = m_sender->request();
    const std::string *hop = head.find(hop_header);
    const auto told = hop == nullptr ? std::nullopt : decode_hop_request(*hop);
    if (const std::string *id = head.find(m_host.options().headers.request_id)) {
        m_request_id = *id;
    }
    if (!told) {
        // The two nodes don't understand each other, which says nothing of the request.
        m_host.log().note("hop_header_unreadable",
                          {{"request", m_request_id}, {"present", hop != nullptr}}, m_received);
        refuse(error_kind::owner_unreachable, m_received, usual_retry_after);
        return;
    }
    m_hop = *told;
    m_deadline = m_received + m_hop.time_left;
    m_waiting_limit = waiting_limit(m_received, m_deadline);
    m_objective = m_received + m_hop.objective_left;
    const std::string *caller = head.find(m_host.options().headers.caller_service);
    m_host.nested_calls().record(m_hop.route, caller == nullptr ? std::string() : *caller,
                                 m_received);
    const routing_table &routing = m_host.agent().lease().routes();
    m_parent_priority = m_host.nested_calls().parent_priority(m_hop.route, routing);
    m_priority = m_parent_priority && m_hop.expendable ? *m_parent_priority + 1 : m_hop.priority;
    if (const auto kind = m_host.agent().misdirected(m_hop.target)) {
        refuse(*kind, m_received, usual_retry_after);
        return;
    }
    m_target_name = m_host.agent().target().name;
    if (!m_body.admitted()) {
        refuse(error_kind::node_full, m_received, usual_retry_after);
        return;
    }
    if (m_sender->awaits_continue()) {
        offer_body(m_received);
    }
}

/// Why the request can't be given to the target now. The target that it was sent to may have been
/// replaced while it waited; the one that took its place was never chosen for it.
std::optional<error_kind> target_relay::refusal(instant now) const {
    const node_agent &agent = m_host.agent();
    const bool replaced = agent.has_target() && agent.target().name != m_target_name;
    if (replaced) {
        return error_kind::target_unreachable;
    }
    const graceful_stop &stop = m_host.stop();
    if (!(m_taken ? stop.may_start(m_deadline) : stop.takes_forwarded(m_deadline))) {
        return error_kind::draining;
    }
    return agent.refusal(m_hop, now);
}

/// Until when a key may come that the target is being granted: a caller that was refused before has
/// no objective left, and yet comes back no sooner than a grant takes.
instant target_relay::key_limit() const {
    return std::min(std::max(m_objective, m_received + usual_retry_after), m_deadline);
}

work_queue::item target_relay::item() const {
    return {.id = m_id,
            .kind = m_hop.route,
            .nested = m_parent_priority && !m_hop.expendable,
            .priority = m_priority,
            .arrived = m_received,
            .objective = m_objective,
            .deadline = m_deadline};
}

/// Whether the services that the target calls can carry the calls of one more request.
bool target_relay::admitted(instant now) {
    if (m_parent_priority) {
        return true; // a request that is under way depends on it
    }
    if (!std::exchange(m_offered, true) && m_hop.first_choice) {
        m_host.board().record({m_hop.route, expired()}, m_hop.priority, m_hop.admitted, now);
    }
    const double draw = std::uniform_real_distribution<double>(0, 1)(m_host.random());
    return !m_host.options().policy.dependency_admission ||
           m_host.dependencies().admits(expired(), draw, now);
}

std::optional<admission_level> target_relay::level(instant now) const {
    return m_parent_priority ? std::optional(m_host.board().level(*m_parent_priority, now))
                             : std::nullopt;
}

/// Decides on a request by its head: what would be refused once its body is here is refused now,
/// and the link is left to others.
void target_relay::offer_body(instant now) {
    const auto kind = refusal(now);
    const work_queue &queue = m_host.agent().queue();
    if (kind && *kind != error_kind::no_owner) {
        refuse(*kind, now, usual_retry_after);
        return;
    }
    m_taken = true;
    m_admitted = admitted(now);
    if (!m_admitted) {
        refuse(error_kind::dependency_overloaded, now, queue.retry_after());
        return;
    }
    if (!queue.would_accept(item(), now)) {
        refuse(error_kind::overloaded, now, queue.retry_after());
        return;
    }
    // The body has to be here while there is still time to run the request.
    work_queue::item body = item();
    const duration run = queue.service_time(m_hop.route);
    body.objective -= run;
    body.deadline -= run;
    const work_queue::verdict verdict = m_host.body_turns().offer(body, now);
    if (verdict == work_queue::verdict::start) {
        take_body(now);
    } else if (verdict == work_queue::verdict::wait) {
        m_phase = phase::waiting_for_turn;
        m_host.expect_start(m_id, [this](bool may_start) {
            const auto self = shared_from_this();
            const instant when = steady_instant();
            m_phase = phase::receiving; // out of the queue already
            if (may_start) {
                take_body(when);
            } else {
                refuse(error_kind::overloaded, when, m_host.body_turns().retry_after());
            }
        });
    } else {
        refuse(error_kind::overloaded, now, m_host.body_turns().retry_after());
    }
}

/// Precondition: counted as in flight by the queue of bodies.
void target_relay::take_body(instant now) {
    m_turn_at = now;
    m_host.metrics().note_body_wait(now - m_received);
    m_sender->send_continue();
}

/// `took` is given if the body came whole.
void target_relay::end_turn(std::optional<duration> took) {
    if (m_turn_at == instant{}) {
        return;
    }
    m_turn_at = {};
    m_host.body_turns().finish(m_hop.route, took);
}

void target_relay::on_request_body(std::string_view piece) {
    if (m_phase == phase::done) {
        return;
    }
    const bool enough = m_body.take(piece);
    if (m_body.beyond_budget()) {
        const auto self = shared_from_this();
        leave_queue(std::nullopt);
        refuse(error_kind::node_full, steady_instant(), usual_retry_after);
    } else if (enough && m_phase == phase::receiving) {
        offer(steady_instant());
    }
}

void target_relay::on_request_end() {
    if (m_phase == phase::done) {
        return;
    }
    m_body.note_end();
    const instant now = steady_instant();
    end_turn(now - m_turn_at);
    if (m_phase == phase::receiving) {
        offer(now);
    }
    m_host.start_waiting(now);
}

void target_relay::offer(instant now) {
    if (const auto kind = refusal(now)) {
        // By the map the key is the target's; its next heartbeat brings it.
        const bool soon = *kind == error_kind::no_owner && now < key_limit();
        if (soon) {
            m_phase = phase::waiting_for_key;
        } else {
            refuse(*kind, now, usual_retry_after);
        }
        return;
    }
    m_taken = true;
    count_key();
    work_queue &queue = m_host.agent().queue();
    if (!m_admitted && !admitted(now)) {
        refuse(error_kind::dependency_overloaded, now, queue.retry_after());
        return;
    }
    m_admitted = true;
    const work_queue::verdict verdict = queue.offer(item(), now);
    if (verdict == work_queue::verdict::start) {
        start(now);
    } else if (verdict == work_queue::verdict::wait) {
        m_phase = phase::queued;
        m_host.expect_start(m_id, [this](bool may_start) {
            const auto self = shared_from_this();
            const instant when = steady_instant();
            if (may_start) {
                start(when);
            } else {
                m_phase = phase::waiting_for_key; // out of the queue already
                refuse(error_kind::overloaded, when, m_host.agent().queue().retry_after());
            }
        });
    } else {
        refuse(error_kind::overloaded, now, queue.retry_after());
    }
}

/// Refused requests count too: by what it runs a target that is full never looks overloaded.
void target_relay::count_key() {
    if (m_hop.key && !m_counted) {
        m_counted = true;
        m_host.agent().count_request(*m_hop.key);
    }
}

/// Precondition: counted as in flight by the queue.
void target_relay::start(instant now) {
    m_phase = phase::running;
    // The key may have moved, or the target left, while the request waited.
    if (const auto kind = refusal(now)) {
        leave_queue(std::nullopt);
        refuse(*kind, now, usual_retry_after);
        return;
    }
    if (now >= m_waiting_limit) {
        stop_waiting(now);
        return;
    }
    m_host.metrics().note_queue(now - m_received);
    m_host.note_target_connections();
    m_started = now;
    const target_heartbeat &target = m_host.agent().target();
    m_life = incarnation_id(target.life());
    const traffic_headers &names = m_host.options().headers;
    http_head head;
    head.method = m_sender->request().method;
    head.target = m_sender->request().target;
    head.headers = forwarded_headers(m_sender->request());
    remove_header(head.headers, hop_header);
    set_header(head.headers, names.deadline_ms,
               std::to_string(std::max<std::int64_t>(1, ms_of(m_deadline - now))));
    set_header(head.headers, names.expected_target, m_target_name);
    m_body.frame(head);
    // A second answer to an earlier attempt has the same id: none can come on a new connection.
    m_call = m_host.pool().start(target.address, head, weak_from_this(), m_attempted);
    m_attempted = true;
    m_body.attach(m_call);
}

/// What the target says of itself with an answer. A limit that can't be read changes nothing: the
/// one before, or none, is as likely meant.
void target_relay::note_target_word(const http_head &answer) {
    const traffic_headers &names = m_host.options().headers;
    const auto limits =
        std::count_if(answer.headers.begin(), answer.headers.end(), [&](const header_field &field) {
            return same_header_name(field.name, names.target_limit);
        });
    const std::string *limit = answer.find(names.target_limit);
    const auto rate =
        limit == nullptr || limits != 1 ? std::nullopt : parse_positive_number(*limit);
    if (limits == 0 || rate) {
        m_host.agent().target_names_limit(rate, m_life, steady_instant());
    } else {
        m_host.metrics().note_unreadable_limit();
    }
    const std::string *leaving = answer.find(names.target_leaving);
    if (leaving != nullptr && *leaving == "1") {
        m_host.agent().target_says_leaving(m_life, read_clocks());
    }
}

void target_relay::on_response_head(http_head head) {
    note_target_word(head);
    m_status = head.status;
    m_not_executed = head.find(m_host.options().headers.not_executed) != nullptr;
    m_key_refused = m_not_executed && head.status == misdirected_status && m_hop.key &&
                    m_host.agent().key_refused(*m_hop.key, steady_instant());
    if (m_key_refused) {
        return;
    }
    http_head out;
    out.status = head.status;
    out.headers = forwarded_headers(head);
    remove_header(out.headers, hop_header);
    out.headers.push_back(
        {std::string(hop_header),
         encode(hop_reply{.load = m_host.load(m_hop.route), .level = level(steady_instant())})});
    const bool sized = head.framing == body_framing::length || head.framing == body_framing::none;
    out.framing = sized ? body_framing::length : body_framing::chunked;
    out.content_length = head.content_length;
    m_sender->send_head(std::move(out));
}

void target_relay::on_response_body(std::string_view piece) {
    if (m_key_refused) {
        return;
    }
    m_sender->send_body(piece);
    if (m_sender->backlogged(m_host.options().held_back)) {
        m_call->pause_answer(true);
    }
}

void target_relay::on_caller_drained() {
    if (m_call) {
        m_call->pause_answer(false);
    }
}

void target_relay::on_response_end() {
    if (m_phase == phase::done) {
        return;
    }
    const auto self = shared_from_this();
    const instant now = steady_instant();
    m_body.detach();
    m_call.reset();
    if (std::exchange(m_key_refused, false)) {
        after_key_refused(now);
        return;
    }
    m_host.metrics().note_target(now - m_started);
    if (!m_not_executed) {
        m_host.agent().run_answered(m_hop.fingerprint, m_life, now);
    }
    if (!m_parent_priority) {
        m_host.dependencies().record_run(m_started, m_status < first_failure_status, now);
    }
    leave_queue(m_not_executed ? std::nullopt : std::optional(now - m_started));
    m_phase = phase::done;
    m_sender->finish();
    m_host.start_waiting(now);
}

/// The target does not hold the key yet, or not any more, and is being granted it. A caller would
/// only come back to the same place.
void target_relay::after_key_refused(instant now) {
    leave_queue(std::nullopt);
    if (now < key_limit() && m_body.replayable() && m_host.take_retry(m_hop.service, false)) {
        m_phase = phase::waiting_for_key;
    } else {
        refuse(error_kind::no_owner, now, usual_retry_after);
    }
    m_host.start_waiting(now);
}

void target_relay::on_call_failed(call_failure why, const std::string &reason) {
    if (m_phase == phase::done) {
        return;
    }
    const auto self = shared_from_this();
    const instant now = steady_instant();
    const instant attempt_begun = m_call->connection_begun();
    m_body.detach();
    m_call.reset();
    leave_queue(std::nullopt);
    if (why == call_failure::not_sent) {
        m_host.note_target_connection_lost();
    } else if (!sent_nothing(why)) {
        m_host.note_target_broke_off(m_hop.fingerprint, m_life);
    }
    m_host.log().note("target_failed",
                      {{"request", m_request_id},
                       {"content", fingerprint_text(m_hop.fingerprint)},
                       {"target", m_target_name},
                       {"reason", reason}},
                      now);
    if (m_sender->answer_begun()) {
        m_phase = phase::done;
        m_sender->abort();
    } else if (sent_nothing(why)) {
        const bool same =
            m_host.agent().has_target() && m_host.agent().target().name == m_target_name;
        if (why == call_failure::refused && same) {
            m_host.note_target_refused(attempt_begun);
        }
        refuse(error_kind::target_unreachable, now, usual_retry_after);
    } else {
        fail(error_kind::target_lost, now);
    }
    m_host.start_waiting(now);
}

/// How far the request has come, for people.
const char *target_relay::phase_name() const {
    switch (m_phase) {
    case phase::waiting_for_turn: return "waiting_for_turn";
    case phase::waiting_for_key: return "waiting_for_key";
    case phase::queued: return "queued";
    case phase::running:
        if (m_sender->answer_begun()) {
            return "answer_half_sent";
        }
        return m_call && m_call->sent() ? "running" : "connecting";
    case phase::receiving:
    case phase::done: break;
    }
    return "receiving";
}

void target_relay::on_caller_gone() {
    if (m_phase == phase::done) {
        return;
    }
    const auto self = shared_from_this();
    m_host.metrics().note_cancelled();
    m_host.log().note("sender_gone",
                      {{"request", m_request_id},
                       {"phase", phase_name()},
                       {"target", m_target_name},
                       {"since_received_ms", ms_of(steady_instant() - m_received)}},
                      steady_instant());
    if (m_call) {
        if (m_call->sent()) {
            m_host.agent().run_unanswered(m_hop.fingerprint, m_life, steady_instant());
        }
        // Closing the connection is what tells the target to stop working.
        m_call->cancel();
        m_call.reset();
    }
    m_body.detach();
    leave_queue(std::nullopt);
    m_phase = phase::done;
    m_host.start_waiting(steady_instant());
}

/// Whether it is certain that no byte of the request has gone to the target, except where the
/// target has answered that it doesn't hold the key and did not run it. `stop_waiting` then ensures
/// that none ever does.
bool target_relay::nothing_sent() const {
    if (m_phase == phase::running) {
        return m_call && !m_call->sent() && !m_sender->answer_begun();
    }
    return m_phase != phase::done;
}

/// Precondition: `nothing_sent()`.
void target_relay::stop_waiting(instant now) {
    if (m_call) {
        m_call->cancel(); // a connection that is still being made is closed before it is written to
        m_call.reset();
    }
    m_body.detach();
    leave_queue(std::nullopt);
    refuse(error_kind::deadline_before_target, now, usual_retry_after);
}

void target_relay::on_time(instant now) {
    if (m_phase == phase::done) {
        return;
    }
    const auto self = shared_from_this();
    if (m_turn_at != instant{} && now >= m_turn_at + m_host.options().body_turn_limit) {
        // Its sender is stuck, paused or cut off; the request itself is judged by its deadline.
        end_turn(std::nullopt);
    }
    if (now >= m_waiting_limit && nothing_sent()) {
        stop_waiting(now);
        m_host.start_waiting(now);
        return;
    }
    if (m_phase == phase::waiting_for_turn) {
        const auto kind = refusal(now);
        if (kind && *kind != error_kind::no_owner) {
            leave_queue(std::nullopt);
            refuse(*kind, now, usual_retry_after);
        }
        return;
    }
    if (m_phase == phase::waiting_for_key) {
        if (now >= key_limit()) {
            refuse(error_kind::no_owner, now, usual_retry_after);
            return;
        }
        m_phase = phase::receiving;
        offer(now);
        return;
    }
    if (m_phase == phase::queued) {
        const auto kind = refusal(now);
        if (kind) {
            leave_queue(std::nullopt);
            refuse(*kind, now, usual_retry_after);
        }
        return;
    }
    if (m_phase == phase::running && now >= m_deadline + deadline_slack) {
        if (m_call) {
            m_call->cancel();
            m_call.reset();
        }
        m_body.detach();
        leave_queue(std::nullopt);
        if (m_sender->answer_begun()) {
            m_phase = phase::done;
            m_sender->abort();
        } else {
            fail(error_kind::deadline_after_target, now);
        }
        m_host.start_waiting(now);
    }
}

void target_relay::on_process_end(instant now) {
    if (m_phase == phase::done || m_sender->answer_begun()) {
        return;
    }
    const auto self = shared_from_this();
    const bool running = m_call && m_call->sent();
    m_host.metrics().note_given_up(running);
    m_host.log().note("request_given_up",
                      {{"request", m_request_id},
                       {"target", m_target_name},
                       {"phase", phase_name()},
                       {"ran_ms", running ? ms_of(now - m_started) : 0},
                       {"left_ms", ms_of(m_deadline - now)},
                       {"stopping_ms", ms_of(m_host.stop().elapsed(now))}},
                      now);
    if (m_call) {
        m_call->cancel();
        m_call.reset();
    }
    m_body.detach();
    leave_queue(std::nullopt);
    if (running) {
        fail(error_kind::draining, now);
    } else {
        refuse(error_kind::draining, now, usual_retry_after);
    }
}

void target_relay::leave_queue(std::optional<duration> took) {
    work_queue &queue = m_host.agent().queue();
    if (m_phase == phase::running) {
        queue.finish(m_hop.route, took);
    } else if (m_phase == phase::queued) {
        queue.withdraw(m_id);
        m_host.forget_start(m_id);
    } else if (m_phase == phase::waiting_for_turn) {
        m_host.body_turns().withdraw(m_id);
        m_host.forget_start(m_id);
    }
    end_turn(std::nullopt);
    m_phase = phase::receiving;
}

void target_relay::refuse(error_kind kind, instant now, duration retry_after) {
    if (kind == error_kind::draining) {
        // Where only the target leaves, its keys are on their way to another.
        retry_after = m_host.stop().begun() ? m_host.returns_in(now) : duration{};
    }
    answer(kind, {.load = m_host.load(m_hop.route),
                  .refused = kind,
                  .retry_after = retry_after,
                  .level = level(now)});
}

void target_relay::fail(error_kind kind, instant) {
    // `draining` would promise that the request did not run.
    answer(kind == error_kind::draining ? error_kind::target_lost : kind,
           {.load = m_host.load(m_hop.route), .may_have_run = true, .failure = kind});
}

void target_relay::answer(error_kind kind, const hop_reply &hop) {
    m_phase = phase::done;
    end_turn(std::nullopt);
    std::vector<header_field> headers{{std::string(hop_header), encode(hop)}};
    if (!m_request_id.empty()) {
        headers.push_back({m_host.options().headers.request_id, m_request_id});
    }
    m_sender->respond(answer_for(kind).status, std::move(headers), {});
}

} // namespace peppertack
