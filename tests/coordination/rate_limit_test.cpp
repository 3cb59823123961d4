#include "peppertack/coordination/work_queue.hpp"

#include <deque>
#include <doctest/doctest.h>
#include <random>

using namespace peppertack;
using namespace std::chrono_literals;

namespace {

constexpr instant start(1000s);
constexpr duration service = 20ms;
constexpr duration objective = 1s;

/// Offers requests to a queue at random times and records when each is started.
class limited_target {
public:
    explicit limited_target(std::uint64_t seed) : m_random(seed) {}

    work_queue queue{{.limit = 8}};
    std::deque<instant> started;
    std::size_t refused = 0;
    std::size_t refused_late = 0; ///< refused after waiting in the queue

    void run(double offered_per_second, duration length) {
        const instant until = m_now + length;
        std::exponential_distribution<double> gap(offered_per_second);
        instant next_offer = m_now;
        for (; m_now < until; m_now += 1ms) {
            while (!m_ends.empty() && m_ends.front() <= m_now) {
                m_ends.pop_front();
                queue.finish("r", service);
            }
            for (; next_offer <= m_now; next_offer += duration(gap_us(gap))) {
                offer();
            }
            std::vector<std::uint64_t> infeasible;
            while (queue.next(m_now, infeasible)) {
                begin();
            }
            refused_late += infeasible.size();
        }
    }

    /// Maximum number of requests started within any interval of length `span`.
    std::size_t max_started_within(duration span) const {
        std::size_t max_count = 0;
        for (auto first = started.begin(), last = started.begin(); last != started.end(); ++last) {
            while (*first + span <= *last) {
                ++first;
            }
            max_count = std::max(max_count, static_cast<std::size_t>(last - first) + 1);
        }
        return max_count;
    }
    instant now() const { return m_now; }

private:
    std::int64_t gap_us(std::exponential_distribution<double> &gap) {
        return std::max<std::int64_t>(1, static_cast<std::int64_t>(gap(m_random) * 1e6));
    }
    void offer() {
        const work_queue::item request{.id = ++m_last_id,
                                       .kind = "r",
                                       .priority = static_cast<int>(m_random() % 3),
                                       .arrived = m_now,
                                       .objective = m_now + objective,
                                       .deadline = m_now + 2 * objective};
        const work_queue::verdict verdict = queue.offer(request, m_now);
        if (verdict == work_queue::verdict::start) {
            begin();
        } else if (verdict == work_queue::verdict::refuse) {
            ++refused;
        }
    }
    void begin() {
        started.push_back(m_now);
        m_ends.push_back(m_now + service);
    }

    std::mt19937_64 m_random;
    instant m_now = start;
    std::uint64_t m_last_id = 0;
    std::deque<instant> m_ends;
};

} // namespace

TEST_CASE("no more requests are started than the announced rate limit allows, at any load") {
    // Guards against a queue that is limited by slots only: 8 slots of 20 ms allow 400 requests/s.
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        std::mt19937_64 random(seed);
        const double limit = 1 + static_cast<double>(random() % 600) / 10;
        limited_target target(seed);
        target.run(80, 2s);
        target.queue.set_rate(limit, target.now());
        target.started.clear();
        target.run(1 + static_cast<double>(random() % 300), 20s);
        CHECK(static_cast<double>(target.max_started_within(4s)) <= 1.5 * 4 * limit + 5);
    }
}

TEST_CASE("the announced rate limit is used in full under overload") {
    // Guards against staying below the limit by starting far fewer requests than it allows.
    limited_target target(1);
    target.queue.set_rate(20, target.now());
    target.run(200, 20s);
    CHECK(target.started.size() >= 380);
    CHECK(target.started.size() <= 420);
}

TEST_CASE("requests that the rate limit would delay past their objective are refused on arrival") {
    // Guards against requests that wait until their objective has passed.
    limited_target target(1);
    target.queue.set_rate(10, target.now());
    target.run(100, 20s);
    CHECK(target.refused > 1700);
    CHECK(target.refused_late * 20 < target.refused);
    CHECK(target.queue.retry_after() >= 100ms);
}

TEST_CASE("a rate limit that is no longer announced is lifted") {
    limited_target target(1);
    target.queue.set_rate(5, target.now());
    target.run(100, 5s);
    target.queue.set_rate(std::nullopt, target.now());
    target.started.clear();
    target.run(100, 5s);
    CHECK(target.started.size() > 450);
}

TEST_CASE("a rate limit lowers the reported slots and capacity") {
    limited_target target(1);
    target.run(100, 20s);
    CHECK(target.queue.usable_slots() == 8);
    CHECK(target.queue.capacity() > 390);
    target.queue.set_rate(100, target.now());
    CHECK(target.queue.usable_slots() == 2);
    CHECK(target.queue.capacity() == 100);
    target.queue.set_rate(1, target.now());
    CHECK(target.queue.usable_slots() == 1);
}
