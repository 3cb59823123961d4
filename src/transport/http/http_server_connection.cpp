#include "http_server_connection.hpp"

#include "../wall_clock.hpp"
#include "peppertack/transport/json_log.hpp"

#include <algorithm>
#include <asio/post.hpp>
#include <nlohmann/json.hpp>

namespace peppertack {

namespace {

constexpr int request_timeout = 408;
constexpr int body_too_large = 413;
constexpr int header_too_large = 431;
constexpr int bad_gateway = 502;
constexpr int unavailable = 503;
/// A node that starts knows the limits in force after about a renewal and an election.
constexpr const char *limits_retry_after = "0.5";
/// Bytes that are held back while no request is read; beyond that the caller is held back.
constexpr std::size_t max_waiting_bytes = 64U << 10U;
/// A caller that never ceases to send what is no request would else keep a server from its end.
constexpr int most_reads_at_end = 4;
/// Bytes that come within this time of each other count as come together.
constexpr duration waiting_resolution = std::chrono::milliseconds(10);

} // namespace

http_server_connection::http_server_connection(http_server &server, asio::ip::tcp::socket socket)
    : m_server(&server), m_reader(http_reader::kind::requests, server.m_options.limits),
      m_charge(server.m_options.budget), m_since(steady_instant()) {
    asio::error_code ignored;
    m_peer = socket.remote_endpoint(ignored).address();
    set_connection_options(socket, {}); // `check_time` ends those that read nothing
    m_stream = std::make_shared<byte_stream>(std::move(socket), *this, server.m_options.budget);
    m_stream->watch_end();
}

http_server_connection::~http_server_connection() {
    // Unless it ends by itself, with the last answer still on its way, the stream must not call
    // back.
    m_stream->detach();
    for (const auto &exchange : m_exchanges) {
        exchange->detach();
    }
}

held_answer_budget &http_server_connection::held_answers() {
    return m_server->m_held_answers;
}

const std::shared_ptr<byte_budget> &http_server_connection::budget() const {
    return m_server->m_options.budget;
}

std::size_t http_server_connection::queue_limit(std::size_t usual) const {
    const bool bounded = m_server != nullptr && budget() != nullptr;
    return bounded ? budget()->queue_limit(usual) : usual;
}

// ---- reading requests ----

http_exchange *http_server_connection::receiving() const {
    const bool whole = m_exchanges.empty() || m_exchanges.back()->m_request_done;
    return whole ? nullptr : m_exchanges.back().get();
}

pipelining_policy::connection_state http_server_connection::state() const {
    const bool ending = m_server->m_draining || m_server->m_refusal.has_value() ||
                        std::any_of(m_exchanges.begin(), m_exchanges.end(), [](const auto &item) {
                            return item->m_close_after || !item->m_request.keep_alive;
                        });
    return {.in_progress = m_exchanges.size(),
            .all_idempotent = std::all_of(m_exchanges.begin(), m_exchanges.end(),
                                          [](const auto &item) {
                                              return item->m_origin.kind !=
                                                     pipelining_policy::request_kind::exclusive;
                                          }),
            .all_replaceable = std::all_of(m_exchanges.begin(), m_exchanges.end(),
                                           [](const auto &item) { return item->replaceable(); }),
            .ends_after = ending,
            .unsent = m_stream->queued()};
}

bool http_server_connection::may_read() const {
    return m_server->m_pipelining.may_read(state(), m_server->m_held_answers);
}

void http_server_connection::on_bytes(std::string_view bytes) {
    const auto self = shared_from_this(); // a handler may drop the last reference
    const instant now = steady_instant();
    if (m_stalled) {
        hold_back(bytes, now);
        charge_unhandled();
        return;
    }
    m_read_at = now;
    read(bytes);
    charge_unhandled();
}

/// Refuses a head that would be held beyond what the process may hold.
void http_server_connection::charge_unhandled() {
    if (m_server == nullptr) {
        return;
    }
    const bool holds = m_reader.has_unread() || m_waiting_bytes > 0;
    m_charge.set(holds ? m_reader.memory() + m_waiting_bytes : 0);
    if (m_charge.full() && m_exchanges.empty() && !m_input_refused && m_reader.in_message()) {
        refuse(unavailable, "the node has no memory for the request");
    }
}

void http_server_connection::hold_back(std::string_view bytes, instant now) {
    if (!m_waiting.empty() && now - m_waiting.back().at < waiting_resolution) {
        m_waiting.back().bytes.append(bytes);
    } else {
        m_waiting.push_back({std::string(bytes), now});
    }
    m_waiting_bytes += bytes.size();
    update_reading();
}

/// Bytes that were taken to be read, and can't be yet, come before all that wait.
void http_server_connection::put_back(std::string_view bytes) {
    if (!bytes.empty()) {
        m_waiting.push_front({std::string(bytes), m_read_at});
        m_waiting_bytes += bytes.size();
    }
}

/// Reads on from the caller unless it is held back, by a handler or by what waits to be read.
void http_server_connection::update_reading() {
    m_stream->pause_reading(m_body_paused || m_waiting_bytes > max_waiting_bytes);
}

void http_server_connection::read(std::string_view bytes) {
    m_reading = true;
    while (m_server != nullptr && !m_input_refused && !m_stalled) {
        if (receiving() == nullptr) {
            if (m_stream->peer_ended()) {
                // A process that was short of its processor reads requests whose callers have long
                // gone; passed on, each would cost a target its work.
                break;
            }
            if (m_exchanges.empty() && m_server->m_refusal) {
                break; // `settle` refuses it
            }
            if (!may_read()) {
                m_stalled = true;
                put_back(bytes);
                break;
            }
            if (!m_reader.in_message()) {
                m_since = steady_instant();
                // A limit that was raised since the connection was opened would else deny what is
                // allowed.
                if (!(m_reader.bounds() == m_server->m_options.limits)) {
                    m_reader.next_under(m_server->m_options.limits);
                }
            }
        }
        const http_reader::state found = m_reader.take(std::exchange(bytes, {}), *this);
        if (m_server == nullptr) {
            break; // a handler has ended the connection
        }
        if (found == http_reader::state::refused) {
            refuse(m_reader.refusal_status(), m_reader.reason());
        } else if (found == http_reader::state::ended) {
            m_reader.next();
        }
        if (found != http_reader::state::ended || !m_reader.has_unread()) {
            break;
        }
    }
    m_reading = false;
    if (m_server != nullptr) {
        settle();
    }
}

void http_server_connection::on_head(http_head head) {
    using request_kind = pipelining_policy::request_kind;
    const auto &kind_of = m_server->m_options.kind_of;
    const bool interim = head.find("Expect") != nullptr; // its interim answer has a place too
    const request_kind kind = kind_of && !interim ? kind_of(head) : request_kind::exclusive;
    const http_exchange::origin from{
        .received = m_read_at, .ahead = m_exchanges.size(), .kind = kind};
    const auto verdict = m_server->m_pipelining.judge(state(), kind);
    if (verdict == pipelining_policy::verdict::wait) {
        m_held_request = {std::move(head), from};
        m_held_request->from.ahead = 0; // it begins once none is left before it
        m_stalled = true;
        m_reader.pause();
        return;
    }
    begin(std::move(head), from);
}

void http_server_connection::begin(http_head head, http_exchange::origin from) {
    const auto exchange = std::make_shared<http_exchange>(*this, std::move(head), from);
    m_exchanges.push_back(exchange);
    m_body_paused = false;
    if (from.ahead > 0) {
        ++m_server->m_overlapped;
    }
    if (exchange->m_awaits_continue && m_server->m_options.continue_at_once) {
        exchange->send_continue();
    }
    exchange->m_handler = m_server->m_make_handler(exchange);
    if (!exchange->m_answer_done && !exchange->closed()) {
        return;
    }
    // Answered at once, or the connection has ended: handler and exchange would keep each other
    // alive.
    const auto handler = std::exchange(exchange->m_handler, nullptr);
    if (handler && !exchange->m_answer_done) {
        handler->on_caller_gone();
    }
}

void http_server_connection::on_body(std::string_view piece) {
    const http_exchange *exchange = receiving();
    if (exchange == nullptr) {
        return; // the connection has ended within this event
    }
    if (const auto handler = exchange->m_handler; handler && !exchange->m_answer_done) {
        handler->on_request_body(piece);
    }
}

void http_server_connection::on_message_end() {
    if (receiving() == nullptr) {
        return;
    }
    const auto exchange = m_exchanges.back();
    exchange->m_request_done = true;
    if (std::exchange(m_body_paused, false)) {
        update_reading();
    }
    if (const auto handler = exchange->m_handler; handler && !exchange->m_answer_done) {
        handler->on_request_end();
    }
}

void http_server_connection::pause_body(const http_exchange &exchange, bool pause) {
    // Reading that is paused for a request that is answered already would never be resumed.
    if (receiving() == &exchange && !exchange.m_answer_done) {
        m_body_paused = pause;
        m_read_at = pause ? m_read_at : steady_instant(); // its caller was not free to send
        update_reading();
    }
}

bool http_server_connection::may_resume() const {
    return m_held_request ? m_exchanges.empty() : may_read();
}

void http_server_connection::schedule_resume() {
    if (!m_stalled || m_resume_posted || !may_resume()) {
        return;
    }
    // From the event loop: the caller of this function is still at work on a request.
    m_resume_posted = true;
    asio::post(m_stream->socket().get_executor(), [self = shared_from_this()] {
        self->m_resume_posted = false;
        self->resume();
    });
}

void http_server_connection::resume() {
    if (m_server == nullptr || closed() || !m_stalled || !may_resume()) {
        return;
    }
    m_stalled = false;
    m_since = steady_instant();
    if (m_held_request) {
        const auto held = std::exchange(m_held_request, std::nullopt);
        begin(held->head, held->from);
        if (m_server == nullptr) {
            return;
        }
        read({});
    } else if (m_reader.has_unread()) {
        read({});
    }
    while (m_server != nullptr && !m_stalled && !m_waiting.empty()) {
        const held_bytes next = std::move(m_waiting.front());
        m_waiting.pop_front();
        m_waiting_bytes -= next.bytes.size();
        m_read_at = next.at;
        read(next.bytes);
    }
    if (m_server != nullptr) {
        update_reading(); // not sooner: each answer would let in more than it made room for
    }
}

/// Bytes that are no request, or one beyond the limits: after them nobody knows where the next
/// begins.
void http_server_connection::refuse(int status, const std::string &reason) {
    m_input_refused = true;
    http_exchange *const begun = receiving();
    if (beyond_unknown_limits(status)) {
        // What was handed on may have run already: nothing is promised then.
        status = begun != nullptr ? bad_gateway : unavailable;
    }
    log_event(log_level::info, "request_refused",
              {{"status", status}, {"reason", reason}, {"peer", m_peer.to_string()}});
    if (begun == nullptr) {
        m_exchanges.push_back(std::make_shared<http_exchange>(
            *this, http_head{},
            http_exchange::origin{.received = m_read_at, .ahead = m_exchanges.size()}));
    }
    const auto exchange = m_exchanges.back();
    exchange->m_close_after = true;
    exchange->m_request_done = true;
    if (const auto handler = std::exchange(exchange->m_handler, nullptr)) {
        handler->on_caller_gone();
    }
    if (m_server == nullptr) {
        return; // the handler has ended the connection
    }
    if (exchange->m_answer_done) {
        settle(); // answered before the request was whole
        return;
    }
    if (exchange->m_answer_begun) {
        exchange->abort();
        return;
    }
    std::vector<header_field> headers{{"Content-Type", "application/problem+json"}};
    if (status == unavailable) {
        headers.push_back({"Retry-After", limits_retry_after});
    }
    exchange->respond(status, std::move(headers),
                      nlohmann::json{{"status", status}, {"detail", reason}}.dump(
                          -1, ' ', false, nlohmann::json::error_handler_t::replace));
}

/// By limits that may not be those in force a request that is allowed would be denied for good.
bool http_server_connection::beyond_unknown_limits(int status) const {
    const bool by_limits = status == body_too_large || status == header_too_large;
    if (!by_limits || m_server == nullptr) {
        return false;
    }
    const http_server::options &now = m_server->m_options;
    const bool replaced = !(m_reader.bounds() == now.limits); // since the request began
    return replaced || (now.limits_known && !now.limits_known());
}

// ---- sending answers ----

bool http_server_connection::in_front(const http_exchange &exchange) const {
    return !m_exchanges.empty() && m_exchanges.front().get() == &exchange;
}

bool http_server_connection::has_behind(const http_exchange &exchange) const {
    return !m_exchanges.empty() && m_exchanges.back().get() != &exchange;
}

bool http_server_connection::ends_with(const http_exchange &exchange) const {
    // Requests behind it that are in progress are answered too: they may have run.
    return m_server == nullptr || (m_server->m_draining && m_exchanges.back().get() == &exchange);
}

void http_server_connection::answered(const http_exchange &exchange) {
    if (!exchange.m_request_done && m_body_paused) {
        m_body_paused = false; // what is left of the request is passed over
        update_reading();
    }
    settle();
}

/// Lets go of what was answered, in order, and goes on with what waited for it.
void http_server_connection::settle() {
    while (!m_exchanges.empty() && m_exchanges.front()->m_answer_done) {
        const auto front = m_exchanges.front();
        if (front->m_close_after) {
            end_after_writes(connection_end::answered);
            return;
        }
        if (!front->m_request_done) {
            return;
        }
        m_exchanges.pop_front();
        front->detach();
        m_since = steady_instant();
        if (!m_exchanges.empty()) {
            bring_forward(*m_exchanges.front());
        }
    }
    if (m_server == nullptr) {
        return; // a handler that was brought forward has ended the connection
    }
    if (m_exchanges.empty() && m_server->m_refusal && !m_reading) {
        answer_unread(m_server->m_refusal->status, m_server->m_refusal->headers);
        return;
    }
    schedule_resume();
}

void http_server_connection::bring_forward(http_exchange &exchange) {
    const bool half = exchange.m_answer_begun && !exchange.m_answer_done;
    if (!half || !has_behind(exchange) || held_answers().exceeded()) {
        exchange.send_held();
    }
    if (const auto handler = exchange.m_handler; handler && !exchange.m_answer_done) {
        handler->on_caller_drained();
    }
}

void http_server_connection::answer_unread(int status, std::vector<header_field> headers) {
    const auto exchange = std::make_shared<http_exchange>(
        *this, http_head{}, http_exchange::origin{.received = steady_instant()});
    m_exchanges.push_back(exchange);
    exchange->m_request_done = true;
    exchange->m_close_after = true;
    exchange->respond(status, std::move(headers), {});
}

void http_server_connection::on_drained() {
    if (!m_exchanges.empty()) {
        const auto exchange = m_exchanges.front();
        if (const auto handler = exchange->m_handler) {
            handler->on_caller_drained();
        }
    }
    if (m_server != nullptr) {
        schedule_resume(); // reading may have stalled on what was unsent
    }
}

// ---- the end ----

void http_server_connection::on_closed(bool) {
    const auto self = shared_from_this();
    note_end(end_by_system(m_stream->error()));
    cancel_exchanges();
    drop();
}

void http_server_connection::end_now(connection_end cause) {
    const auto self = shared_from_this();
    note_end(cause);
    m_stream->close();
    cancel_exchanges();
    drop();
}

void http_server_connection::end_if_idle(connection_end cause) {
    const auto self = shared_from_this();
    for (int i = 0;
         i < most_reads_at_end && m_server != nullptr && idle() && m_stream->has_unread(); ++i) {
        m_stream->read_now();
    }
    if (m_server != nullptr && idle()) {
        end_now(cause);
    }
}

/// Precondition: the exchanges are still there.
void http_server_connection::note_end(connection_end cause) {
    if (m_server == nullptr) {
        return;
    }
    const auto unanswered =
        std::count_if(m_exchanges.begin(), m_exchanges.end(),
                      [](const auto &exchange) { return !exchange->m_answer_done; });
    const bool unread = m_stalled || m_stream->has_unread();
    m_server->m_ends.note(cause, unanswered > 0 || unread);
    if (unanswered > 0 || (unread && cause != connection_end::answered)) {
        m_server->m_end_log.note("connection_ended",
                                 {{"cause", name_of(cause)},
                                  {"address", m_server->m_options.address},
                                  {"peer", m_peer.to_string()},
                                  {"unanswered", unanswered},
                                  {"unread", unread},
                                  {"unsent", m_stream->queued()},
                                  {"error", m_stream->error()}},
                                 steady_instant());
    }
}

void http_server_connection::end_after_writes(connection_end cause) {
    const auto self = shared_from_this();
    note_end(cause);
    m_stream->close_after_writes();
    if (m_server != nullptr) {
        m_server->m_ending.push_back(
            {.stream = m_stream, .taken = m_stream->taken(), .moved = steady_instant()});
    }
    cancel_exchanges();
    drop();
}

/// Requests behind an answer that ends the connection count as not read: their caller sends them
/// once more, and what they would still do is done for nobody.
void http_server_connection::cancel_exchanges() {
    const auto all = std::exchange(m_exchanges, {});
    for (const auto &exchange : all) {
        exchange->detach();
    }
    for (const auto &exchange : all) {
        const auto handler = std::exchange(exchange->m_handler, nullptr);
        if (handler && !exchange->m_answer_done) {
            handler->on_caller_gone();
        }
    }
}

void http_server_connection::release() {
    m_server = nullptr;
    for (const auto &exchange : std::exchange(m_exchanges, {})) {
        exchange->detach();
        exchange->m_handler.reset();
    }
    m_stream->close();
}

void http_server_connection::drop() {
    if (m_server == nullptr) {
        return;
    }
    auto &all = m_server->m_connections;
    m_server = nullptr;
    const auto place = std::find_if(all.begin(), all.end(),
                                    [this](const auto &item) { return item.get() == this; });
    if (place == all.end()) {
        return;
    }
    // Kept until the event loop is reached: this may be running inside one of its own functions.
    asio::post(m_stream->socket().get_executor(), [kept = *place] {});
    all.erase(place);
}

std::optional<instant> http_server_connection::stuck_since() const {
    return queued() == 0 ? std::nullopt : std::optional(m_taken_at);
}

void http_server_connection::check_time(instant now) {
    if (std::exchange(m_taken, m_stream->taken()) != m_stream->taken() || queued() == 0) {
        m_taken_at = now;
    }
    if (const http_exchange *begun = receiving();
        begun != nullptr && !m_body_paused && !m_stream->has_unread()) {
        // Nobody awaits the rest of a body whose request is answered.
        const duration allowed = begun->m_answer_done ? m_server->m_options.header_timeout
                                                      : m_server->m_options.idle_timeout;
        if (m_read_at + allowed < now) {
            end_now(connection_end::idle);
            return;
        }
    }
    if (busy()) {
        return;
    }
    if (queued() != 0) {
        // The system takes more only when a good part of its buffer has been read.
        m_since = now;
        if (m_taken_at + late_reader_limit < now) {
            end_now(connection_end::unacknowledged);
        }
        return;
    }
    // Bytes that have come in time may wait to be read, on a process that stood still.
    if (m_stream->has_unread()) {
        return;
    }
    // While reading is stalled, bytes of a request may be here and not be read: its caller is not
    // slow to send them, but slow to read the answers before.
    const bool partly_here = m_reader.in_message() && !m_stalled;
    if (partly_here && m_since + m_server->m_options.header_timeout < now) {
        refuse(request_timeout, "the head of the request did not come in time");
    } else if (!partly_here && m_since + m_server->m_options.idle_timeout < now) {
        end_now(connection_end::idle);
    }
}

} // namespace peppertack
