#include "pipelining_callers.hpp"

#include "pipelining_connection.hpp"

#include <algorithm>
#include <deque>
#include <iostream>

namespace peppertack::testing {

using namespace std::chrono_literals;

namespace {

constexpr auto tick = 10ms;
/// Without a byte from a node that runs. Deadlines are 1.5 s and a node that stops has 6 s, so that
/// whatever is awaited for longer is awaited in vain. Counted in ticks: time in which this process
/// stands still does not count.
constexpr std::uint64_t patience_ticks = 6s / tick;
constexpr std::uint64_t reconnect_ticks = 20;
constexpr std::uint64_t look_ticks = 10;
constexpr std::uint64_t most_node_memory = 160'000'000; ///< bytes
constexpr duration finish_time = 30s;
constexpr std::size_t callers = 30;
constexpr std::size_t slow_callers = 16;
constexpr std::uint64_t most_requests = 8;
/// With six requests at a time on each connection slow callers await 300 MB from one node. With a
/// third of that a node that holds back nothing had 40 MB, as the system's buffers took the rest.
constexpr std::uint64_t longest_slow_answer = 6'000'000;
constexpr std::uint64_t longest_answer = 100'000;
constexpr int slow_window = 16 << 10;          ///< receive buffer of a slow caller, in bytes
constexpr std::size_t slow_piece = 16U << 10U; ///< bytes that it reads at a time
constexpr std::uint64_t slow_ticks = 4;        ///< from one time to the next
constexpr std::size_t usual_piece = 1U << 20U; ///< bytes that others read in a tick

} // namespace

/// One caller with one connection at a time.
class pipelining_callers::caller {
public:
    caller(pipelining_callers &owner, std::size_t node, bool slow)
        : m_owner(owner), m_node(node), m_slow(slow) {}

    bool idle() const { return m_open.empty() && m_again.empty(); }
    void tend();
    std::string story() const;

private:
    using state = pipelining_connection::state;
    struct sent_request {
        std::shared_ptr<caller_attempt> attempt;
        std::string bytes;
        std::size_t length = 0; ///< of its answer
    };

    void send_batch();
    sent_request make_request(bool once);
    void pass();
    void take(const pipelining_connection::answer &got);
    void send_rest_again();
    void check_time();
    void end();

    pipelining_callers &m_owner;
    std::size_t m_node;
    bool m_slow;
    std::unique_ptr<pipelining_connection> m_connection;
    std::uint64_t m_pause = 0;        ///< ticks until it goes on
    std::uint64_t m_still = 0;        ///< ticks without a byte that is awaited
    std::uint64_t m_closes_early = 0; ///< ticks until then; 0: it does not
    std::deque<sent_request> m_open;  ///< sent and not answered, in order
    std::deque<sent_request> m_again; ///< to be sent on the next connection
};

void pipelining_callers::caller::tend() {
    m_pause -= m_pause > 0 ? 1 : 0;
    if (!m_connection && m_pause == 0 && !(m_owner.m_finishing && idle())) {
        m_connection = std::make_unique<pipelining_connection>(
            m_owner.m_cluster.io(), m_owner.m_cluster.caller_address(m_node),
            m_slow ? slow_window : 0);
    }
    if (m_connection && m_connection->now() == state::open && m_open.empty() && m_pause == 0) {
        send_batch();
    }
    if (m_connection) {
        pass();
    }
    if (m_closes_early > 0 && --m_closes_early == 0) {
        end();
    }
    check_time();
}

void pipelining_callers::caller::send_batch() {
    if (!m_again.empty()) {
        m_open = std::exchange(m_again, {});
        m_owner.m_resent += m_open.size();
    } else if (!m_owner.m_finishing) {
        const std::uint64_t count = 1 + m_owner.draw(most_requests);
        const std::uint64_t once = m_owner.draw(4) == 0 ? m_owner.draw(count) : count;
        for (std::uint64_t i = 0; i < count; ++i) {
            m_open.push_back(make_request(i == once));
        }
        m_closes_early = m_owner.draw(20) == 0 ? 1 + m_owner.draw(40) : 0;
    }
    std::shared_ptr<caller_attempt> previous;
    for (const sent_request &request : m_open) {
        m_connection->send(request.bytes);
        request.attempt->previous = std::exchange(previous, request.attempt);
    }
    m_pause = m_owner.draw(30); // at least until the next one
}

pipelining_callers::caller::sent_request pipelining_callers::caller::make_request(bool once) {
    const std::string body = once ? "body" : "";
    const std::uint64_t longest = m_slow ? longest_slow_answer : longest_answer;
    const std::size_t length = m_slow || m_owner.draw(2) == 0 ? m_owner.draw(longest) : 0;
    const auto attempt = m_owner.m_cluster.expect(m_node, once, body);
    http_head head = m_owner.m_cluster.request_head(
        *attempt, std::string(long_path) + std::to_string(length), m_owner.draw(2) == 0,
        static_cast<std::uint32_t>(m_owner.draw(65536)));
    head.keep_alive = m_owner.draw(40) != 0; // else its answer closes the connection
    if (once) {
        head.framing = body_framing::length;
        head.content_length = body.size();
    }
    return {.attempt = attempt, .bytes = request_bytes(head) + body, .length = length};
}

void pipelining_callers::caller::pass() {
    const bool slowly = m_slow && !m_owner.m_finishing;
    if (slowly && m_owner.m_ticks % slow_ticks != 0) {
        return;
    }
    if (m_connection->pass(slowly ? slow_piece : usual_piece)) {
        m_still = 0;
    }
    bool closes = false;
    for (const pipelining_connection::answer &got : m_connection->take_answers()) {
        take(got);
        closes = !got.head.keep_alive;
    }
    if (m_connection->now() == state::garbled) {
        m_owner.violate(story() + ": got what is no answer");
    }
    if (closes) {
        send_rest_again();
    } else if (m_connection->now() == state::ended || m_connection->now() == state::garbled) {
        end();
    }
}

/// Answers that a node gives in a target's place name the request as well, unless the connection
/// itself gave them.
void pipelining_callers::caller::take(const pipelining_connection::answer &got) {
    const int status = got.head.status;
    if (m_open.empty()) { // a node that stops may say so on a connection that is free
        if (status != 503 || got.head.keep_alive) {
            m_owner.violate(story() + ": answered " + std::to_string(status) + " unasked");
        }
        return;
    }
    const sent_request request = std::move(m_open.front());
    m_open.pop_front();
    caller_attempt &attempt = *request.attempt;
    const std::string *id = got.head.find("X-Request-Id");
    if (id != nullptr ? *id != attempt.id : status == 200) {
        m_owner.violate("an answer " + std::to_string(status) + " for " +
                        (id == nullptr ? "no request" : *id) + " is in the place of " + attempt.id);
    }
    const bool whole = got.body == long_answer(attempt.id, request.length);
    attempt.body = whole ? long_answer(attempt.id, 0) : got.body.substr(0, 100) + "...";
    attempt.status = status;
    ++m_owner.m_answers[status];
    m_closes_early = m_open.empty() ? 0 : m_closes_early;
}

/// Requests behind an answer that closes the connection count as not read.
void pipelining_callers::caller::send_rest_again() {
    for (const sent_request &request : m_open) {
        if (request.attempt->once && m_owner.m_cluster.has_run(request.attempt->id)) {
            m_owner.violate(request.attempt->id +
                            " has run behind an answer that closes its connection");
        }
    }
    m_again = std::exchange(m_open, {});
    end();
}

void pipelining_callers::caller::check_time() {
    const bool connecting = m_connection && m_connection->now() == state::connecting;
    const bool awaits = connecting || !m_open.empty();
    m_still = awaits && m_owner.m_paused.count(m_node) == 0 ? m_still + 1 : 0;
    if (m_still > patience_ticks) {
        m_owner.violate(story() + ": neither answered nor ended in time");
        end();
    }
}

std::string pipelining_callers::caller::story() const {
    return std::string(m_slow ? "slow caller" : "caller") + " of node " + std::to_string(m_node) +
           " with " + std::to_string(m_open.size()) + " unanswered requests from " +
           (m_open.empty() ? "none" : m_open.front().attempt->id);
}

void pipelining_callers::caller::end() {
    for (const sent_request &request : std::exchange(m_open, {})) {
        request.attempt->status = -1;
        ++m_owner.m_answers[-1];
    }
    m_connection.reset();
    m_pause = reconnect_ticks;
    m_closes_early = 0;
}

// ---- all of them ----

pipelining_callers::pipelining_callers(platform_cluster &cluster, std::uint64_t seed)
    : m_cluster(cluster), m_random(seed), m_timer(cluster.io()) {
    const std::size_t read_slowly = draw(cluster.nodes());
    for (std::size_t i = 0; i < callers; ++i) {
        const bool slow = i < slow_callers;
        m_callers.push_back(
            std::make_unique<caller>(*this, slow ? read_slowly : i % cluster.nodes(), slow));
    }
    tend();
}

pipelining_callers::~pipelining_callers() = default;

void pipelining_callers::tend() {
    ++m_ticks;
    for (const auto &one : m_callers) {
        one->tend();
    }
    if (m_ticks % look_ticks == 0) {
        look_at_nodes();
    }
    m_timer.expires_after(tick);
    m_timer.async_wait([this, alive = std::weak_ptr(m_alive)](asio::error_code error) {
        if (!error && !alive.expired()) {
            tend();
        }
    });
}

void pipelining_callers::look_at_nodes() {
    m_paused.clear();
    for (std::size_t i = 0; i < m_cluster.nodes(); ++i) {
        if (m_cluster.node_paused(i)) {
            m_paused.insert(i);
        }
        const std::uint64_t memory = m_cluster.node_memory(i);
        if (memory > most_node_memory && m_largest <= most_node_memory) {
            violate("node " + std::to_string(i) + " has " + std::to_string(memory) +
                    " bytes of memory");
        }
        m_largest = std::max(m_largest, memory);
    }
}

bool pipelining_callers::finish() {
    m_finishing = true;
    const auto idle = [](const auto &one) { return one->idle(); };
    m_cluster.run_until([&] { return std::all_of(m_callers.begin(), m_callers.end(), idle); },
                        finish_time);
    for (const auto &one : m_callers) {
        if (!one->idle()) {
            violate(one->story() + ": not over at the end");
        }
    }
    if (m_answers[200] == 0) {
        violate("no pipelined request was answered 200");
    }
    std::uint64_t unanswered = 0;
    for (std::size_t i = 0; i < m_cluster.nodes(); ++i) {
        unanswered += m_cluster.target(i).left_unanswered();
    }
    std::cout << "pipelined:";
    for (const auto &[status, number] : m_answers) {
        std::cout << " " << status << ": " << number << ",";
    }
    std::cout << " sent again " << m_resent << ", left unanswered by targets " << unanswered
              << ", largest node " << m_largest / 1'000'000 << " MB\n";
    for (const std::string &what : m_violations) {
        std::cout << what << "\n";
    }
    return m_violations.empty();
}

} // namespace peppertack::testing
