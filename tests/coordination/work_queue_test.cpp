#include "peppertack/coordination/work_queue.hpp"

#include <doctest/doctest.h>
#include <functional>
#include <queue>
#include <random>

using namespace peppertack;
using namespace std::chrono_literals;

namespace {

constexpr instant start(1000s);

work_queue::item item(std::uint64_t id, int priority = 1, duration objective = 500ms) {
    return {.id = id,
            .kind = "r",
            .priority = priority,
            .arrived = start,
            .objective = start + objective,
            .deadline = start + 2 * objective};
}

/// Simulates a target under steady load in virtual time and counts the answers within their
/// objective. The service time is fixed, or log-normal with `spread`.
struct replay {
    work_queue queue{{.limit = 4}};
    duration service = 100ms;
    double spread = 0; ///< of the logarithm of the service time
    std::uint64_t priorities = 2;
    std::size_t offered = 0;
    std::size_t in_time = 0;
    std::size_t late = 0;
    std::size_t refused = 0;
    std::size_t refused_late = 0;
    std::map<int, std::size_t> served_by_priority;

    void run(double rate, duration length, duration objective) {
        struct running {
            instant ends;
            std::uint64_t id;
            duration took{};
            bool operator>(const running &other) const { return ends > other.ends; }
        };
        std::priority_queue<running, std::vector<running>, std::greater<>> busy;
        std::map<std::uint64_t, work_queue::item> items;
        std::map<std::uint64_t, instant> arrived;
        std::mt19937_64 random(7);
        std::exponential_distribution<double> gap(rate);
        instant now = start;
        instant next_arrival = start;
        std::lognormal_distribution<double> factor(-spread * spread / 2, spread);
        const auto begin = [&](std::uint64_t id) {
            const double times = spread == 0 ? 1 : factor(random);
            const duration took(
                static_cast<duration::rep>(static_cast<double>(service.count()) * times));
            busy.push({now + took, id, took});
        };
        const auto fill = [&] {
            std::vector<std::uint64_t> infeasible;
            while (const auto id = queue.next(now, infeasible)) {
                begin(*id);
            }
            for (const std::uint64_t id : infeasible) {
                ++refused;
                refused_late += now - arrived[id] > objective / 2 ? 1 : 0;
            }
        };
        std::uint64_t id = 0;
        while (now < start + length) {
            if (!busy.empty() && busy.top().ends <= next_arrival) {
                const running done = busy.top();
                busy.pop();
                now = done.ends;
                queue.finish("r", done.took);
                const bool good = now <= items[done.id].objective;
                ++(good ? in_time : late);
                ++served_by_priority[items[done.id].priority];
                fill();
                continue;
            }
            now = next_arrival;
            next_arrival += duration(static_cast<duration::rep>(gap(random) * 1e6));
            work_queue::item request{.id = ++id,
                                     .kind = "r",
                                     .priority = static_cast<int>(id % priorities),
                                     .arrived = now,
                                     .objective = now + objective,
                                     .deadline = now + objective * 2};
            items[id] = request;
            arrived[id] = now;
            ++offered;
            const auto verdict = queue.offer(request, now);
            if (verdict == work_queue::verdict::start) {
                begin(id);
            }
            refused += verdict == work_queue::verdict::refuse ? 1 : 0;
        }
    }
};

/// A target in virtual time behind a `work_queue`.
struct busy_target {
    struct running {
        instant ends;
        work_queue::item request;
        duration took;
        bool operator>(const running &other) const { return ends > other.ends; }
    };
    work_queue queue{{.limit = 17}};
    std::map<std::string, duration> service; ///< by kind
    std::priority_queue<running, std::vector<running>, std::greater<>> busy;
    std::map<std::uint64_t, work_queue::item> waiting;
    std::function<void(const work_queue::item &, instant)> served;
    std::function<void(const work_queue::item &, instant)> refused;

    void begin(const work_queue::item &request, instant now) {
        const duration took = service[request.kind];
        busy.push({now + took, request, took});
    }
    void offer(const work_queue::item &request, instant now) {
        const auto verdict = queue.offer(request, now);
        if (verdict == work_queue::verdict::start) {
            begin(request, now);
        } else if (verdict == work_queue::verdict::wait) {
            waiting[request.id] = request;
        } else {
            refused(request, now);
        }
    }
    /// Completes the requests that end by `until`.
    void advance(instant until) {
        while (!busy.empty() && busy.top().ends <= until) {
            const running done = busy.top();
            busy.pop();
            queue.finish(done.request.kind, done.took);
            served(done.request, done.ends);
            std::vector<std::uint64_t> infeasible;
            while (const auto next = queue.next(done.ends, infeasible)) {
                begin(waiting[*next], done.ends);
                waiting.erase(*next);
            }
            for (const std::uint64_t id : infeasible) {
                const work_queue::item request = waiting[id];
                waiting.erase(id);
                refused(request, done.ends);
            }
        }
    }
};

} // namespace

TEST_CASE("requests start while slots are free and wait in order of rank") {
    work_queue queue({.limit = 1});
    CHECK(queue.offer(item(1), start) == work_queue::verdict::start);
    CHECK(queue.offer(item(2, 2), start) == work_queue::verdict::wait);
    CHECK(queue.offer(item(3, 0), start) == work_queue::verdict::wait);
    const work_queue::item call = item(4, 2, 400ms);
    CHECK(queue.offer(call, start) == work_queue::verdict::wait);
    std::vector<std::uint64_t> infeasible;
    CHECK_FALSE(queue.next(start, infeasible));
    std::vector<std::uint64_t> order;
    for (int i = 0; i < 3; ++i) {
        queue.finish("r", 10ms);
        order.push_back(queue.next(start, infeasible).value_or(0));
    }
    // By priority, then by earliest objective.
    CHECK(order == std::vector<std::uint64_t>{3, 4, 2});
    CHECK(infeasible.empty());
}

// Guards against wasting the work of a running request for the sake of a direct request.
TEST_CASE("a nested call goes before direct requests, an expendable one by its priority") {
    for (const bool first : {true, false}) {
        work_queue queue({.limit = 1, .nested_first = first});
        queue.offer(item(1), start);
        queue.offer(item(2, 0), start);
        work_queue::item call = item(3, 1);
        call.nested = true;
        queue.offer(call, start);
        queue.offer(item(4, 3), start); // expendable: less urgent than its parent
        std::vector<std::uint64_t> infeasible;
        std::vector<std::uint64_t> order;
        for (int i = 0; i < 3; ++i) {
            queue.finish("r", 10ms);
            order.push_back(queue.next(start, infeasible).value_or(0));
        }
        CHECK(order ==
              (first ? std::vector<std::uint64_t>{3, 2, 4} : std::vector<std::uint64_t>{2, 3, 4}));
    }
}

TEST_CASE("requests that can't be answered in time are refused immediately") {
    work_queue queue({.limit = 1});
    queue.offer(item(1), start);
    queue.finish("r", 100ms);
    for (int i = 0; i < 200; ++i) { // until the service time estimate converges
        queue.offer(item(2), start);
        queue.finish("r", 100ms);
    }
    std::size_t waiting = 0;
    CHECK(queue.offer(item(3), start) == work_queue::verdict::start);
    while (queue.offer(item(10 + waiting), start) == work_queue::verdict::wait) {
        ++waiting;
    }
    // Five requests of 100 ms fit into 500 ms: one runs, and the last of the four that wait ends
    // just in time.
    CHECK(waiting == 4);
    CHECK(queue.retry_after() >= 300ms);
}

TEST_CASE("a waiting request that can no longer be answered in time is refused") {
    work_queue queue({.limit = 1});
    queue.offer(item(1), start);
    CHECK(queue.offer(item(2), start) == work_queue::verdict::wait);
    std::vector<std::uint64_t> infeasible;
    CHECK_FALSE(queue.next(start + 480ms, infeasible));
    CHECK(infeasible == std::vector<std::uint64_t>{2});
    CHECK(queue.waiting() == 0);
}

TEST_CASE("at five times the capacity the target stays busy with requests that are in time") {
    // Load: all requests of one kind, far above the capacity, for a minute.
    replay load;
    load.run(200, 60s, 500ms); // capacity is 40 requests/s
    CHECK(load.in_time >= 0.95 * 40 * 60);
    CHECK(load.late <= load.in_time / 50);
    CHECK(load.served_by_priority[0] >= load.served_by_priority[1]);
    // Most refusals are immediate.
    CHECK(load.refused_late <= load.refused / 10);
}

TEST_CASE("below the capacity nothing is refused") {
    replay load;
    load.run(20, 60s, 500ms);
    CHECK(load.refused <= load.offered / 100);
    CHECK(load.in_time >= load.offered * 98 / 100);
}

TEST_CASE("a request can be checked for admission without being admitted") {
    work_queue queue({.limit = 1});
    CHECK(queue.would_accept(item(1), start));
    CHECK_FALSE(queue.would_accept(item(1), start + 2s));
    CHECK(queue.in_flight() == 0);
    CHECK(queue.offer(item(1), start) == work_queue::verdict::start);
    CHECK(queue.would_accept(item(2), start));
    CHECK_FALSE(queue.would_accept(item(2), start + 480ms));
    CHECK(queue.waiting() == 0);
}

TEST_CASE(
    "at twice the capacity the less urgent requests are refused immediately, not after a wait") {
    // Guards against late refusals: half of them came after more than half of the objective. At
    // twice the capacity, half of it urgent, less urgent requests were queued, overtaken by later
    // urgent ones and finally refused, if the expected wait counts only requests that are already
    // queued.
    replay load;
    load.spread = 0.5;
    load.run(80, 120s, 500ms); // capacity is 40 requests/s
    CHECK(load.in_time >= 0.93 * 40 * 120);
    CHECK(load.late <= load.in_time / 20);
    CHECK(load.refused_late <= load.refused / 10);
}

// Guards against answers just after their objective during overload: the queue settles at the
// longest wait that still seems to be in time, and every served request waits that long.
TEST_CASE("a standing queue is shortened until the served requests are in time") {
    replay load;
    load.queue = work_queue({.limit = 17});
    load.service = 97ms;
    load.spread = 0.4;
    load.priorities = 1;
    load.run(260, 60s, 300ms); // capacity is 175 requests/s
    CHECK(load.late <= load.in_time / 20);
    CHECK(load.in_time >= 0.93 * 175 * 60);
    replay standing = {.queue = work_queue({.limit = 17, .drain_standing = false}),
                       .service = load.service,
                       .spread = load.spread,
                       .priorities = 1};
    standing.run(260, 60s, 300ms);
    MESSAGE("in time " << standing.in_time << " -> " << load.in_time << ", late " << standing.late
                       << " -> " << load.late);
    CHECK(standing.late >= 4 * load.late);
}

TEST_CASE("a kind does not starve beside another of its priority with a shorter objective") {
    // Guards against starvation after most targets of a service are lost: calls of lookups were all
    // served, but only 30% of the bookings, which have the same priority. Both kinds together offer
    // three times the capacity, and a call always has the earliest objective, so that the order has
    // to take into account which kind was refused more.
    struct load {
        double offered = 0;
        double served = 0;
        double part() const { return served / offered; }
    };
    std::map<std::string, load> loads;
    busy_target target{.service = {{"call", 22ms}, {"booking", 120ms}}};
    target.served = [&](const work_queue::item &request, instant) { ++loads[request.kind].served; };
    target.refused = [](const work_queue::item &, instant) {};
    // Offered load in slots: 17 by calls and 30 by bookings; the target has 17.
    std::mt19937_64 random(11);
    std::exponential_distribution<double> gap(772 + 250);
    std::bernoulli_distribution is_call(772.0 / (772 + 250));
    instant now = start;
    for (std::uint64_t id = 1; now < start + 60s; ++id) {
        now += duration(static_cast<duration::rep>(gap(random) * 1e6));
        target.advance(now);
        const bool call = is_call(random);
        const duration objective = call ? 100ms : 400ms;
        const work_queue::item request{.id = id,
                                       .kind = call ? "call" : "booking",
                                       .priority = 1,
                                       .arrived = now,
                                       .objective = now + objective,
                                       .deadline = now + 2 * objective};
        ++loads[request.kind].offered;
        target.offer(request, now);
    }
    MESSAGE("served of calls " << loads["call"].part() << ", of bookings "
                               << loads["booking"].part());
    CHECK(std::abs(loads["call"].part() - loads["booking"].part()) <= 0.2);
    CHECK(loads["call"].served * 0.022 + loads["booking"].served * 0.120 >= 0.95 * 17 * 60);
}

TEST_CASE("retries of refused callers don't make new requests late") {
    // Guards against late answers at twice the capacity: half of them came after the objective, as
    // measured by the callers. Refused callers retry twice; a retry that can no longer be in time
    // must not be served in place of a request that can.
    struct retry {
        instant at;
        std::uint64_t caller;
        int tries;
        bool operator>(const retry &other) const { return at > other.at; }
    };
    std::priority_queue<retry, std::vector<retry>, std::greater<>> due;
    std::map<std::uint64_t, std::pair<instant, int>> callers; // first attempt, tries
    double in_time = 0;
    double late = 0;
    busy_target target{.service = {{"r", 100ms}}};
    target.served = [&](const work_queue::item &request, instant now) {
        ++(now <= callers[request.id].first + 400ms ? in_time : late);
    };
    target.refused = [&](const work_queue::item &request, instant now) {
        const int tries = ++callers[request.id].second;
        if (tries < 3) {
            due.push(
                {now + std::max<duration>(target.queue.retry_after(), 250ms), request.id, tries});
        }
    };
    const auto send = [&](std::uint64_t caller, instant now) {
        const instant first_sent = callers[caller].first;
        target.offer({.id = caller,
                      .kind = "r",
                      .priority = 1,
                      .arrived = now,
                      .objective = first_sent + 400ms,
                      .deadline = first_sent + 2500ms},
                     now);
    };
    std::mt19937_64 random(3);
    std::exponential_distribution<double> gap(340); // capacity is 170 requests/s
    instant now = start;
    for (std::uint64_t caller = 1; now < start + 60s; ++caller) {
        const instant next = now + duration(static_cast<duration::rep>(gap(random) * 1e6));
        while (!due.empty() && due.top().at <= next) {
            const retry back = due.top();
            due.pop();
            target.advance(back.at);
            send(back.caller, back.at);
        }
        now = next;
        target.advance(now);
        callers[caller] = {now, 0};
        send(caller, now);
    }
    MESSAGE("in time " << in_time << ", late " << late);
    CHECK(in_time >= 0.9 * 170 * 60);
    CHECK(in_time + late >= 0.95 * 170 * 60);
}

TEST_CASE("the capacity of a target with few requests is measured over several reports") {
    // Guards against placement by equal capacities in a fleet of sparsely used targets: no report
    // interval saw ten requests, so that no capacity was ever measured.
    work_queue queue({.limit = 16});
    std::size_t measured = 0;
    for (int report = 0; report < 15; ++report) {
        for (int i = 0; i < 2; ++i) {
            REQUIRE(queue.offer(item(1), start) == work_queue::verdict::start);
            queue.finish("r", 500ms);
        }
        measured += queue.take_measured_capacity() > 0 ? 1 : 0;
    }
    CHECK(measured == 3);
    queue.discard_measurement();
    CHECK(queue.take_measured_capacity() == 0);
}
