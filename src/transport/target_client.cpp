#include "peppertack/transport/target_client.hpp"

#include "peppertack/protocol/caller_mapping.hpp"

#include <asio.hpp>
#include <atomic>
#include <httplib.h>

namespace peppertack {

namespace {

/// Opening a connection takes about a millisecond; one that takes this long fails instead, so that
/// the time between the look at the lease and the write stays bounded.
constexpr duration connect_limit = std::chrono::milliseconds(50);
constexpr std::size_t most_idle = 128;

httplib::Request request_of(const target_call &call) {
    httplib::Request request;
    request.method = call.request.method;
    request.path = call.request.path;
    for (const header_field &field : call.request.headers) {
        request.headers.emplace(field.name, field.value);
    }
    request.headers.emplace(header::token, std::to_string(call.token));
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(call.request.time_left);
    request.headers.emplace(header::deadline_ms,
                            std::to_string(std::max<std::int64_t>(1, left.count())));
    if (call.request.body) {
        request.body = *call.request.body;
    }
    return request;
}

call_result result_of(httplib::Result &answer) {
    call_result result;
    if (!answer) {
        const bool unsent = answer.error() == httplib::Error::Connection ||
                            answer.error() == httplib::Error::ConnectionTimeout ||
                            answer.error() == httplib::Error::BindIPAddress;
        result.result = unsent ? call_result::kind::not_sent : call_result::kind::lost;
        return result;
    }
    result.result = call_result::kind::answered;
    result.status = answer->status;
    for (const auto &[name, value] : answer->headers) {
        if (!is_connection_header(name)) {
            result.headers.push_back({name, value});
        }
    }
    result.body = std::make_shared<const std::string>(std::move(answer->body));
    return result;
}

} // namespace

struct target_client::slot {
    explicit slot(const std::string &where) : address(where), client("http://" + where) {
        client.set_keep_alive(true);
        client.set_tcp_nodelay(true);
        client.set_url_encode(false);
        client.set_decompress(false);
        client.set_follow_location(false);
        client.set_connection_timeout(std::chrono::microseconds(connect_limit));
    }
    std::string address;
    httplib::Client client;
    std::atomic<bool> cancelled{false};
};

target_client::target_client(clock now) : m_now(std::move(now)) {}
target_client::~target_client() = default;

void target_client::set_address(const std::string &address) {
    const std::lock_guard lock(m_mutex);
    if (m_address != address) {
        m_address = address;
        m_idle.clear();
    }
}

std::string target_client::address() const {
    const std::lock_guard lock(m_mutex);
    return m_address;
}

std::shared_ptr<target_client::slot> target_client::take(std::uint64_t call) {
    const std::lock_guard lock(m_mutex);
    std::shared_ptr<slot> taken;
    if (m_idle.empty()) {
        taken = std::make_shared<slot>(m_address);
    } else {
        taken = std::move(m_idle.back());
        m_idle.pop_back();
    }
    m_running[call] = taken;
    return taken;
}

void target_client::give_back(std::uint64_t call, const std::shared_ptr<slot> &used,
                              bool reusable) {
    const std::lock_guard lock(m_mutex);
    m_running.erase(call);
    if (reusable && used->address == m_address && m_idle.size() < most_idle && !used->cancelled) {
        m_idle.push_back(used);
    }
}

call_result target_client::run(const target_call &call) {
    const httplib::Request request = request_of(call);
    const std::shared_ptr<slot> used = take(call.call);
    const instant now = m_now();
    // A connection that is still to be opened puts its time between this look and the write.
    const duration margin = used->client.is_socket_open() != 0 ? duration{} : connect_limit;
    if (used->cancelled || now + margin >= call.not_after) {
        give_back(call.call, used, true);
        return {};
    }
    const duration left = call.deadline - now;
    used->client.set_read_timeout(left);
    used->client.set_write_timeout(left);
    httplib::Result answer = used->client.send(request);
    call_result result = result_of(answer);
    give_back(call.call, used, result.result == call_result::kind::answered);
    return result;
}

void target_client::cancel(std::uint64_t call) {
    std::shared_ptr<slot> running;
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_running.find(call);
        if (found == m_running.end()) {
            return;
        }
        running = found->second;
    }
    running->cancelled = true;
    running->client.stop();
}

bool target_client::reachable() {
    const std::string where = address();
    const std::size_t colon = where.rfind(':');
    asio::error_code error;
    const auto host = asio::ip::make_address(where.substr(0, colon), error);
    if (colon == std::string::npos || error) {
        return false;
    }
    const auto port = static_cast<unsigned short>(std::atoi(where.c_str() + colon + 1));
    asio::io_context io;
    asio::ip::tcp::socket probe(io);
    probe.connect({host, port}, error);
    return !error;
}

} // namespace peppertack
