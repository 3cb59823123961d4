#include "peppertack/transport/http/http_client_pool.hpp"

#include "../wall_clock.hpp"
#include "peppertack/transport/json_log.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace peppertack {

namespace {

constexpr duration sweep_interval = std::chrono::seconds(1);
/// Bytes of a body for which a connection that waits for a request has room.
constexpr std::size_t always_taken = 32U << 10U;
constexpr int continue_status = 100;
constexpr int first_final_status = 200;
constexpr int first_redirect_status = 300;

} // namespace

/// A connection to a server: idle in the pool, or carrying one call.
class http_call::connection : public byte_stream::listener,
                              private http_message_sink,
                              public std::enable_shared_from_this<http_call::connection> {
public:
    connection(http_client_pool &pool, std::string address)
        : m_pool(&pool), m_pool_alive(pool.m_alive), m_address(std::move(address)),
          m_reader(http_reader::kind::responses, pool.m_options.limits), m_timer(pool.m_io),
          m_charge(pool.m_options.budget), m_begun(steady_instant()), m_number(++pool.m_made) {
        ++pool.m_open[m_address];
    }

    ~connection() override {
        close(); // the stream may live on for a moment and must not call back
        if (!m_pool_alive.expired()) {
            const auto place = m_pool->m_open.find(m_address);
            if (--place->second == 0) {
                m_pool->m_open.erase(place);
            }
        }
    }

    void begin_call(const http_head &head, std::weak_ptr<http_response_handler> handler) {
        m_handler = std::move(handler);
        begin_request(head);
    }

    void begin_late_call(call_maker make, std::weak_ptr<http_response_handler> handler) {
        m_handler = std::move(handler);
        m_in_call = true;
        m_make = std::move(make);
        m_taken_before = taken();
        if (m_stream) {
            // Not within the call that starts it: the handler may not be ready for events yet.
            asio::post(m_pool->m_io, [self = shared_from_this()] { self->make_request(); });
        }
    }

    void begin_request(const http_head &head) {
        m_body_bytes = 0;
        // A server may answer before it reads the rest of a body.
        if (m_late_reader && m_stream->acknowledged()) {
            m_late_reader = false;
            m_stream->set_unacknowledged_limit(silent_server_limit);
        }
        const std::string *id = head.find(m_pool->m_options.id_header);
        m_expected_id = id == nullptr ? std::string() : *id;
        m_request_done = false;
        m_answer_begun = false;
        m_answer_done = false;
        m_in_call = true;
        m_expect_no_body = head.method == "HEAD";
        m_taken_before = taken();
        if (m_expect_no_body) {
            m_reader.expect_no_body();
        }
        write(request_bytes(head));
    }

    void connect() {
        if (!m_pool->make_room()) {
            asio::post(m_pool->m_io, [self = shared_from_this()] {
                if (!self->m_closed) {
                    self->close();
                    self->fail(call_failure::not_connected, "too many connections");
                }
            });
            return;
        }
        const asio::ip::tcp::endpoint endpoint = endpoint_from(m_address);
        auto socket = std::make_shared<asio::ip::tcp::socket>(m_pool->m_io);
        m_timer.expires_after(m_pool->m_options.connect_timeout);
        m_timer.async_wait([self = shared_from_this(), socket](asio::error_code error) {
            if (!error && !self->m_stream) {
                asio::error_code ignored;
                socket->close(ignored);
            }
        });
        ++m_pool->m_connecting;
        socket->async_connect(endpoint,
                              [self = shared_from_this(), socket](asio::error_code error) {
                                  if (!self->m_pool_alive.expired()) {
                                      --self->m_pool->m_connecting;
                                  }
                                  self->m_timer.cancel();
                                  self->connected(std::move(*socket), error);
                              });
    }

    void write(std::string_view bytes) {
        if (m_closed) {
            return;
        }
        if (m_stream) {
            m_stream->write(bytes);
        } else {
            m_before_connect.append(bytes);
            m_charge.set(m_before_connect.capacity());
        }
    }

    void write_body(std::string_view piece) {
        m_body_bytes += piece.size();
        if (m_stream) {
            await_late_reader();
        }
        write(piece);
    }

    void request_done() {
        m_request_done = true;
        if (m_answer_done) {
            settle();
        }
    }

    void cancel() {
        m_in_call = false;
        m_handler.reset();
        close();
    }

    void close() {
        m_closed = true;
        std::string().swap(m_before_connect);
        m_charge.set(0);
        count_established(false);
        if (m_stream) {
            m_stream->close();
        }
    }

    void pause(bool value) {
        m_paused = value;
        if (m_stream) {
            m_stream->pause_reading(value);
        }
    }

    bool usable(instant now) const { return !m_closed && m_idle_until > now; }
    std::size_t queued() const { return m_stream ? m_stream->queued() : m_before_connect.size(); }
    const std::string &address() const { return m_address; }
    /// What an earlier call had queued counts as sent by this one, which errs on the safe side.
    bool sent() const { return taken() > m_taken_before; }
    bool reused() const { return m_calls > 0; }
    instant begun() const { return m_begun; }
    std::uint64_t number() const { return m_number; }
    bool closed() const { return m_closed; }

private:
    /// A body that the other side has no room for yet does not tell that it is silent.
    void await_late_reader() {
        if (!m_late_reader && m_body_bytes > always_taken) {
            m_late_reader = true;
            m_stream->set_unacknowledged_limit(late_reader_limit);
        }
    }

    std::uint64_t taken() const { return m_stream ? m_stream->taken() : 0; }

    /// Why a call ends whose connection has been closed.
    call_failure failure_when_closed() const {
        if (!sent()) {
            return call_failure::not_sent;
        }
        return m_answer_begun ? call_failure::bad_answer : call_failure::no_answer;
    }

    void count_established(bool established) {
        if (m_established == established || m_pool_alive.expired()) {
            return;
        }
        m_established = established;
        std::size_t &count = m_pool->m_established[m_address];
        count = established ? count + 1 : count - 1;
        if (count == 0) {
            m_pool->m_established.erase(m_address);
        }
    }

    void connected(asio::ip::tcp::socket socket, asio::error_code error) {
        if (m_closed) {
            return;
        }
        if (error) {
            m_closed = true;
            fail(error == asio::error::connection_refused ? call_failure::refused
                                                          : call_failure::not_connected,
                 error.message());
            return;
        }
        set_connection_options(socket, silent_server_limit);
        m_stream =
            std::make_shared<byte_stream>(std::move(socket), *this, m_pool->m_options.budget);
        // Another thread of control may keep the stream beyond this object's life: the stream calls
        // back only while it is open, and this object closes it first.
        count_established(true);
        m_stream->start();
        await_late_reader();
        m_stream->pause_reading(m_paused);
        if (m_make) {
            make_request();
        } else {
            const bool waited = !m_before_connect.empty();
            write(std::exchange(m_before_connect, {}));
            m_charge.set(0);
            if (waited && m_stream->queued() == 0) {
                on_drained(); // the stream tells only what it had to wait for
            }
        }
    }

    void make_request() {
        if (m_closed || !m_make) {
            return;
        }
        const std::optional<whole_call> request = std::exchange(m_make, nullptr)();
        if (!request) {
            close();
            fail(call_failure::not_connected, "not to be made any more");
            return;
        }
        begin_request(request->head);
        write_body(request->body);
        request_done();
    }

    void on_bytes(std::string_view bytes) override {
        const auto self = shared_from_this();
        if (!m_in_call) {
            m_reader.take(bytes, *this);
            if (!m_end_announced) {
                // Nobody has asked: a second answer, or what is left of an earlier one.
                log_event(log_level::info, "unasked_bytes", {{"peer", m_address}});
            }
            close();
            return;
        }
        const http_reader::state state = m_reader.take(bytes, *this);
        after_read(state);
    }

    void after_read(http_reader::state state) {
        while (state == http_reader::state::ended && !m_answer_done && !m_closed) {
            // An interim answer, or one to another request: the awaited one may follow it.
            m_skipping = false;
            m_reader.next();
            if (m_expect_no_body) {
                m_reader.expect_no_body();
            }
            state = m_reader.has_unread() ? m_reader.take({}, *this) : http_reader::state::more;
        }
        if (state == http_reader::state::refused && !m_closed) {
            close();
            fail(failure_when_closed(), m_reader.reason());
        } else if (m_answer_done && m_request_done && m_in_call) {
            settle();
        } else if (m_answer_done && m_in_call && !m_request_done) {
            // Answered before it had the whole request: the rest would be taken for another
            // request.
            m_in_call = false;
            close();
        }
    }

    void on_drained() override {
        if (const auto handler = m_handler.lock()) {
            handler->on_call_drained();
        }
    }

    void on_closed(bool in_order) override {
        const auto self = shared_from_this();
        m_closed = true;
        count_established(false);
        if (!m_in_call) {
            return;
        }
        // An answer without a length ends with its connection, but only if that ended in order.
        if (in_order && m_answer_begun && m_reader.take_end(*this) == http_reader::state::ended) {
            m_in_call = false;
            return;
        }
        fail(failure_when_closed(), in_order ? "connection closed" : "connection reset");
    }

    /// A success without an id counts only where ids have not been echoed so far. A refusal may
    /// come from something in between that never read the request.
    bool of_another_request(int status, const std::string *id) const {
        if (m_expected_id.empty()) {
            return false;
        }
        return id != nullptr ? *id != m_expected_id
                             : m_echoes_ids && status < first_redirect_status;
    }

    void on_head(http_head head) override {
        const std::string *id = head.find(m_pool->m_options.id_header);
        if (!m_in_call) {
            // A server that stops answers requests that it has not read.
            m_end_announced = !head.keep_alive && id == nullptr;
            m_skipping = true;
            return;
        }
        const bool interim = head.status < first_final_status;
        if (interim || of_another_request(head.status, id)) {
            m_skipping = true;
            const auto handler = m_handler.lock();
            if (head.status == continue_status && handler) {
                handler->on_continue();
            }
            if (!interim) {
                log_event(log_level::info, "answer_of_another_request",
                          {{"peer", m_address},
                           {"expected", m_expected_id},
                           {"came", id == nullptr ? std::string() : *id}});
            }
            return;
        }
        m_echoes_ids = m_echoes_ids || id != nullptr;
        m_answer_begun = true;
        m_keep_alive = head.keep_alive && head.framing != body_framing::until_close;
        const auto seconds = keep_alive_seconds(head);
        m_idle_time = seconds
                          ? duration(std::chrono::seconds(*seconds)) - m_pool->m_options.idle_margin
                          : m_pool->m_options.idle_timeout;
        if (const auto handler = m_handler.lock()) {
            handler->on_response_head(std::move(head));
        }
    }

    void on_body(std::string_view piece) override {
        if (m_skipping) {
            return;
        }
        if (const auto handler = m_handler.lock()) {
            handler->on_response_body(piece);
        }
    }

    void on_message_end() override {
        if (m_skipping) {
            return;
        }
        m_answer_done = true;
        if (const auto handler = std::exchange(m_handler, {}).lock()) {
            handler->on_response_end();
        }
    }

    /// The call is over; the connection goes back to the pool if it can serve another.
    void settle() {
        m_in_call = false;
        ++m_calls;
        // A second answer to a call without an id could be taken for one to any other.
        const bool told_apart =
            m_pool_alive.expired() || m_pool->m_options.id_header.empty() || !m_expected_id.empty();
        if (m_closed || !m_keep_alive || !told_apart || m_reader.has_unread() ||
            m_pool_alive.expired()) {
            close();
            return;
        }
        m_reader.next();
        m_paused = false;
        m_stream->pause_reading(false);
        m_idle_until = steady_instant() + m_idle_time;
        m_pool->give_back(shared_from_this());
    }

    void fail(call_failure why, const std::string &reason) {
        m_in_call = false;
        if (const auto handler = std::exchange(m_handler, {}).lock()) {
            handler->on_call_failed(why, reason);
        }
    }

    http_client_pool *m_pool;
    std::weak_ptr<bool> m_pool_alive;
    std::string m_address;
    http_reader m_reader;
    asio::steady_timer m_timer;
    std::shared_ptr<byte_stream> m_stream;
    std::weak_ptr<http_response_handler> m_handler;
    std::string m_before_connect;
    byte_budget::charge m_charge; ///< for that
    instant m_begun;
    std::uint64_t m_number;
    call_maker m_make; ///< of a call whose request is not made yet
    std::string m_expected_id;
    bool m_in_call = false;
    bool m_request_done = false;
    bool m_answer_begun = false;
    bool m_answer_done = false;
    bool m_expect_no_body = false;
    bool m_skipping = false;
    bool m_echoes_ids = false;
    bool m_keep_alive = true;
    bool m_paused = false;
    bool m_late_reader = false;       ///< the bound for silent servers is lifted
    std::size_t m_body_bytes = 0;     ///< of the request so far
    std::uint64_t m_taken_before = 0; ///< by the system, when the call began
    bool m_end_announced = false;     ///< while no call was made
    bool m_closed = false;
    bool m_established = false;
    std::uint64_t m_calls = 0;
    duration m_idle_time{};
    instant m_idle_until{};
};

void http_call::send_body(std::string_view piece) {
    m_link->write_body(piece);
}

void http_call::request_done() {
    m_link->request_done();
}

void http_call::cancel() {
    m_link->cancel();
}

void http_call::pause_answer(bool pause) {
    m_link->pause(pause);
}

std::size_t http_call::queued() const {
    return m_link->queued();
}

bool http_call::sent() const {
    return m_link->sent();
}

bool http_call::reused() const {
    return m_link->reused();
}

std::uint64_t http_call::connection_number() const {
    return m_link->number();
}

instant http_call::connection_begun() const {
    return m_link->begun();
}

http_client_pool::http_client_pool(asio::io_context &io, options settings)
    : m_io(io), m_options(std::move(settings)), m_sweep(io) {
    sweep();
}

http_client_pool::~http_client_pool() {
    m_alive.reset();
    for (auto &[address, links] : m_idle) {
        for (const connection_ptr &link : links) {
            link->close();
        }
    }
}

std::shared_ptr<http_call> http_client_pool::start(const std::string &address,
                                                   const http_head &head,
                                                   std::weak_ptr<http_response_handler> handler,
                                                   bool fresh) {
    const std::string *id = head.find(m_options.id_header);
    const bool told_apart = m_options.id_header.empty() || (id != nullptr && !id->empty());
    connection_ptr link = fresh || !told_apart ? nullptr : take_idle(address);
    if (!link) {
        link = std::make_shared<http_call::connection>(*this, address);
        link->connect();
    }
    link->begin_call(head, std::move(handler));
    return std::shared_ptr<http_call>(new http_call(std::move(link)));
}

std::shared_ptr<http_call>
http_client_pool::start_late(const std::string &address, call_maker make,
                             std::weak_ptr<http_response_handler> handler, bool fresh) {
    connection_ptr link = fresh ? nullptr : take_idle(address);
    const bool made = !link;
    if (made) {
        link = std::make_shared<http_call::connection>(*this, address);
    }
    link->begin_late_call(std::move(make), std::move(handler));
    if (made) {
        link->connect();
    }
    return std::shared_ptr<http_call>(new http_call(std::move(link)));
}

http_client_pool::connection_ptr http_client_pool::take_idle(const std::string &address) {
    const auto found = m_idle.find(address);
    if (found == m_idle.end()) {
        return nullptr;
    }
    std::vector<connection_ptr> &links = found->second;
    const instant now = steady_instant();
    while (!links.empty()) {
        // The one used last is the least likely to have been given up by the other side.
        connection_ptr link = std::move(links.back());
        links.pop_back();
        if (link->usable(now)) {
            return link;
        }
        link->close();
    }
    return nullptr;
}

void http_client_pool::give_back(const connection_ptr &link) {
    m_idle[link->address()].push_back(link);
}

/// Closes idle connections until one more may be made. Yields whether it may.
bool http_client_pool::make_room() {
    const auto full = [this] {
        return byte_stream::thread_open() + m_connecting >= m_options.most_streams;
    };
    while (full() && !m_idle.empty()) {
        const auto place = m_idle.begin();
        if (!place->second.empty()) {
            place->second.front()->close();
            place->second.erase(place->second.begin());
        }
        if (place->second.empty()) {
            m_idle.erase(place);
        }
    }
    return !full();
}

void http_client_pool::forget(const std::string &address) {
    const auto found = m_idle.find(address);
    if (found == m_idle.end()) {
        return;
    }
    for (const connection_ptr &link : found->second) {
        link->close();
    }
    m_idle.erase(found);
}

std::size_t http_client_pool::connections_to(const std::string &address) const {
    const auto found = m_open.find(address);
    return found == m_open.end() ? 0 : found->second;
}

std::size_t http_client_pool::established_to(const std::string &address) const {
    const auto found = m_established.find(address);
    return found == m_established.end() ? 0 : found->second;
}

std::size_t http_client_pool::idle_to(const std::string &address) const {
    const auto found = m_idle.find(address);
    return found == m_idle.end() ? 0 : found->second.size();
}

void http_client_pool::sweep() {
    m_sweep.expires_after(sweep_interval);
    m_sweep.async_wait([this, alive = std::weak_ptr(m_alive)](asio::error_code error) {
        if (error || alive.expired()) {
            return;
        }
        const instant now = steady_instant();
        for (auto place = m_idle.begin(); place != m_idle.end();) {
            std::vector<connection_ptr> &links = place->second;
            std::erase_if(links, [now](const connection_ptr &link) {
                const bool over = !link->usable(now);
                if (over) {
                    link->close();
                }
                return over;
            });
            place = links.empty() ? m_idle.erase(place) : std::next(place);
        }
        sweep();
    });
}

} // namespace peppertack
