#include "peppertack/transport/target_client.hpp"

#include "peppertack/protocol/caller_mapping.hpp"
#include "peppertack/transport/http/http_client_pool.hpp"

#include <algorithm>
#include <array>
#include <asio.hpp>
#include <functional>
#include <future>
#include <mutex>
#include <optional>
#include <thread>
#include <unordered_map>

namespace peppertack {

namespace {

/// Opening a connection takes about a millisecond; a target that takes this long is stuck.
constexpr duration connect_limit = std::chrono::milliseconds(50);
/// Requests that have a body as a rule, and tell when it is empty (RFC 9110, 8.6).
constexpr std::array<std::string_view, 3> methods_with_body{"POST", "PUT", "PATCH"};

whole_call request_of(const target_call &call, const std::string &address) {
    const caller_request &request = call.request;
    whole_call result;
    result.head.method = request.method;
    result.head.target = request.path;
    result.head.headers = {{"Host", address}};
    result.head.headers.insert(result.head.headers.end(), request.headers.begin(),
                               request.headers.end());
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(request.time_left);
    result.head.headers.push_back({header::token, std::to_string(call.token)});
    result.head.headers.push_back(
        {header::deadline_ms, std::to_string(std::max<std::int64_t>(1, left.count()))});
    if (request.body) {
        result.body = *request.body;
    }
    const bool tells_length =
        !result.body.empty() || std::find(methods_with_body.begin(), methods_with_body.end(),
                                          request.method) != methods_with_body.end();
    result.head.framing = tells_length ? body_framing::length : body_framing::none;
    result.head.content_length = result.body.size();
    return result;
}

/// A call and its answer. All but its future belongs to the thread of the loop.
class running_call final : public http_response_handler,
                           public std::enable_shared_from_this<running_call> {
public:
    running_call(asio::io_context &io, const target_call &call)
        : m_call(call), m_deadline_timer(io) {}

    std::future<call_result> result() { return m_promise.get_future(); }
    const target_call &call() const { return m_call; }

    void begin(std::shared_ptr<http_call> http, duration left) {
        m_http = std::move(http);
        m_deadline_timer.expires_after(left);
        m_deadline_timer.async_wait([self = shared_from_this()](asio::error_code error) {
            if (!error) {
                self->give_up();
            }
        });
    }
    void give_up() {
        if (m_finished) {
            return;
        }
        const bool sent = m_http->sent();
        m_http->cancel(); // from here on nothing more is sent
        finish(sent ? call_result::kind::lost : call_result::kind::not_sent);
    }
    /// Called once, at the end.
    std::function<void()> on_finished;

private:
    void on_response_head(http_head head) override {
        m_result.status = head.status;
        for (header_field &field : head.headers) {
            if (!is_connection_header(field.name)) {
                m_result.headers.push_back(std::move(field));
            }
        }
    }
    void on_response_body(std::string_view piece) override { m_body.append(piece); }
    void on_response_end() override { finish(call_result::kind::answered); }
    void on_call_failed(call_failure why, const std::string &) override {
        finish(sent_nothing(why) ? call_result::kind::not_sent : call_result::kind::lost);
    }

    void finish(call_result::kind how) {
        call_result result;
        if (how == call_result::kind::answered) {
            result = std::move(m_result);
            result.body = std::make_shared<const std::string>(std::move(m_body));
        }
        result.result = how;
        m_finished = true;
        m_promise.set_value(std::move(result));
        m_deadline_timer.cancel();
        on_finished();
    }

    target_call m_call;
    asio::steady_timer m_deadline_timer;
    std::shared_ptr<http_call> m_http;
    call_result m_result;
    std::string m_body;
    std::promise<call_result> m_promise;
    bool m_finished = false;
};

} // namespace

class target_client::impl {
public:
    explicit impl(clock now) : m_now(std::move(now)), m_guard(m_io.get_executor()) {
        m_pool.emplace(m_io, http_client_pool::options{.connect_timeout = connect_limit});
        m_thread = std::thread([this] { m_io.run(); });
    }

    ~impl() {
        // Streams belong to the thread that uses them, also at their end.
        asio::post(m_io, [this] {
            m_pool.reset();
            m_io.stop();
        });
        m_thread.join();
    }

    void set_address(const std::string &address) {
        const std::lock_guard lock(m_mutex);
        if (m_address == address) {
            return;
        }
        asio::post(m_io, [this, old = m_address] { m_pool->forget(old); });
        m_address = address;
    }

    std::string address() const {
        const std::lock_guard lock(m_mutex);
        return m_address;
    }

    call_result run(const target_call &call) {
        const auto item = std::make_shared<running_call>(m_io, call);
        std::future<call_result> result = item->result();
        asio::post(m_io, [this, item] { begin(item); });
        return result.get();
    }

    void cancel(std::uint64_t call) {
        asio::post(m_io, [this, call] {
            const auto found = m_running.find(call);
            if (found != m_running.end()) {
                const auto item = found->second; // lives until this returns
                item->give_up();
            }
        });
    }

private:
    void begin(const std::shared_ptr<running_call> &item) {
        const std::string to = address();
        const std::uint64_t id = item->call().call;
        m_running[id] = item;
        item->on_finished = [this, id] {
            // Kept until the event loop is reached: it is at work on the call.
            asio::post(m_io, [ended = m_running.extract(id)] {});
        };
        const auto make = [this, weak = std::weak_ptr(item), to]() -> std::optional<whole_call> {
            const auto still = weak.lock();
            const bool in_time = still && m_now() < still->call().not_after;
            return in_time ? std::optional(request_of(still->call(), to)) : std::nullopt;
        };
        item->begin(m_pool->start_late(to, make, item), item->call().deadline - m_now());
    }

    clock m_now;
    asio::io_context m_io;
    asio::executor_work_guard<asio::io_context::executor_type> m_guard;
    mutable std::mutex m_mutex; ///< guards the address
    std::string m_address;
    // ---- used on the loop's thread only ----
    std::optional<http_client_pool> m_pool;
    std::unordered_map<std::uint64_t, std::shared_ptr<running_call>> m_running;
    std::thread m_thread;
};

target_client::target_client(clock now) : m_impl(std::make_unique<impl>(std::move(now))) {}
target_client::~target_client() = default;

void target_client::set_address(const std::string &address) {
    m_impl->set_address(address);
}

std::string target_client::address() const {
    return m_impl->address();
}

call_result target_client::run(const target_call &call) {
    return m_impl->run(call);
}

void target_client::cancel(std::uint64_t call) {
    m_impl->cancel(call);
}

bool target_client::reachable() {
    const asio::ip::tcp::endpoint endpoint = endpoint_from(address());
    if (endpoint.port() == 0) {
        return false;
    }
    asio::error_code error;
    asio::io_context io;
    asio::ip::tcp::socket probe(io);
    probe.connect(endpoint, error);
    return !error;
}

} // namespace peppertack
