#include "peppertack/coordination/dependency_admission.hpp"

#include "peppertack/coordination/work_queue.hpp"

#include <doctest/doctest.h>
#include <functional>
#include <map>
#include <queue>
#include <random>

using namespace peppertack;
using namespace std::chrono_literals;

namespace {

constexpr instant start(1000s);

/// Event queue in virtual time; runs actions in the order of their times.
class timeline {
public:
    void at(instant when, std::function<void()> action) {
        m_due.push({when, ++m_last, std::move(action)});
    }
    instant now() const { return m_now; }
    void run_until(instant end) {
        while (!m_due.empty() && m_due.top().when <= end) {
            const entry next = m_due.top();
            m_due.pop();
            m_now = next.when;
            next.action();
        }
        m_now = end;
    }

private:
    struct entry {
        instant when;
        std::uint64_t order;
        std::function<void()> action;
        bool operator<(const entry &other) const {
            return std::tie(when, order) > std::tie(other.when, other.order);
        }
    };
    std::priority_queue<entry> m_due;
    instant m_now = start;
    std::uint64_t m_last = 0;
};

/// A target behind its `work_queue`. A request occupies a slot from `begin` to `end`.
class queued_target {
public:
    struct request {
        work_queue::item item;
        std::function<void()> begin; ///< has to call `end` when the work is done
        std::function<void()> rejected;
    };
    queued_target(timeline &time, std::uint32_t slots) : m_time(time), m_queue({.limit = slots}) {}

    void set_slots(std::uint32_t slots) { m_queue.set_limit(slots); }
    void offer(request arrival) {
        const std::uint64_t id = arrival.item.id;
        switch (m_queue.offer(arrival.item, m_time.now())) {
        case work_queue::verdict::start: arrival.begin(); break;
        case work_queue::verdict::wait: m_waiting[id] = std::move(arrival); break;
        case work_queue::verdict::refuse: arrival.rejected(); break;
        }
    }
    void end(const std::string &kind, duration took) {
        m_queue.finish(kind, took);
        std::vector<std::uint64_t> infeasible;
        while (const auto next = m_queue.next(m_time.now(), infeasible)) {
            m_waiting.extract(*next).mapped().begin();
        }
        for (const std::uint64_t id : infeasible) {
            m_waiting.extract(id).mapped().rejected();
        }
    }

private:
    timeline &m_time;
    work_queue m_queue;
    std::map<std::uint64_t, request> m_waiting;
};

/// Lookups at a portal service call a desk service, which also serves bookings. Rejected callers
/// and failed lookups retry twice.
class two_tiers {
public:
    explicit two_tiers(bool admission) : m_admission(admission) {}

    struct counts {
        double offered = 0;
        double in_time = 0;
        double wasted = 0; ///< runs that failed because a nested call was rejected
        double share() const { return in_time / offered; }
    };
    std::map<std::string, counts> of;

    void set_desk(std::uint32_t slots) { m_desk.set_slots(slots); }
    void run(duration length) {
        const instant end = m_time.now() + length;
        for (instant at = m_time.now(); at < end; at += gap(743)) {
            m_time.at(at, [this] { is_lookup() ? look_up() : book(); });
        }
        m_time.run_until(end);
        for (auto &[kind, count] : of) {
            MESSAGE(kind << ": offered " << count.offered << ", in time " << count.in_time
                         << ", wasted " << count.wasted);
        }
    }
    void reset_counts() { of.clear(); }

private:
    static constexpr duration call_work = 22ms;
    static constexpr int most_tries = 3;

    duration gap(double rate) {
        return duration(static_cast<duration::rep>(
            std::exponential_distribution<double>(rate)(m_random) * 1e6));
    }
    double draw() { return std::uniform_real_distribution<double>(0, 1)(m_random); }
    bool is_lookup() { return draw() < 484.0 / 743; }
    work_queue::item item(const char *kind, bool nested, int priority, instant objective) {
        const instant now = m_time.now();
        return {.id = ++m_last_id,
                .kind = kind,
                .nested = nested,
                .priority = priority,
                .arrived = now,
                .objective = objective,
                .deadline = objective + 1500ms};
    }
    void retry_later(int tries, duration pause, std::function<void(int)> again) {
        if (tries + 1 < most_tries) {
            m_time.at(m_time.now() + pause,
                      [again = std::move(again), tries] { again(tries + 1); });
        }
    }

    void book() {
        ++of["booking"].offered;
        const instant objective = m_time.now() + 400ms;
        try_booking(0, objective);
    }
    void try_booking(int tries, instant objective) {
        const admission_class kind{"booking", objective <= m_time.now()};
        m_meter.record_offered(kind, m_time.now());
        m_aggregator.record(kind, 1, m_meter.share(kind, m_time.now()), m_time.now());
        m_desk.offer({.item = item("booking", false, 1, objective),
                      .begin =
                          [this, objective] {
                              m_time.at(m_time.now() + 150ms, [this, objective] {
                                  of["booking"].in_time += m_time.now() <= objective ? 1 : 0;
                                  m_desk.end("booking", 150ms);
                              });
                          },
                      .rejected =
                          [this, kind, tries, objective] {
                              m_meter.record_rejected(kind, m_time.now());
                              retry_later(tries, 400ms, [this, objective](int next) {
                                  try_booking(next, objective);
                              });
                          }});
    }

    void look_up() {
        ++of["lookup"].offered;
        try_lookup(0, m_time.now() + 300ms);
    }
    void try_lookup(int tries, instant objective) {
        const auto again = [this, tries, objective] {
            retry_later(tries, 300ms, [this, objective](int next) { try_lookup(next, objective); });
        };
        if (m_admission &&
            !m_dependencies.admits(objective <= m_time.now(), draw(), m_time.now())) {
            again();
            return;
        }
        m_portal.offer({.item = item("lookup", false, 2, objective),
                        .begin =
                            [this, objective, again] {
                                const instant began = m_time.now();
                                const int calls = draw() < 0.7 ? 2 : 0;
                                m_time.at(began + 90ms, [this, calls, began, objective, again] {
                                    call(calls, [this, began, objective, again](bool good) {
                                        end_lookup(began, objective, good, again);
                                    });
                                });
                            },
                        .rejected = again});
    }
    void end_lookup(instant began, instant objective, bool good,
                    const std::function<void()> &again) {
        const instant now = m_time.now();
        m_dependencies.record_run(began, good, now);
        of["lookup"].in_time += good && now <= objective ? 1 : 0;
        of["lookup"].wasted += good ? 0 : 1;
        if (!good) {
            again();
        }
        m_portal.end("lookup", now - began);
    }
    void call(int calls, std::function<void(bool)> done) {
        if (calls == 0) {
            done(true);
            return;
        }
        const bool expendable = m_admission && m_dependencies.calls_expendable();
        m_desk.offer({.item = item("call", !expendable && m_admission, expendable ? 3 : 1,
                                   m_time.now() + 100ms),
                      .begin =
                          [this, calls, done] {
                              m_time.at(m_time.now() + call_work, [this, calls, done] {
                                  m_dependencies.record_accepted(
                                      "call", m_aggregator.level(2, m_time.now()), m_time.now());
                                  m_desk.end("call", call_work);
                                  call(calls - 1, done);
                              });
                          },
                      .rejected =
                          [this, done] {
                              m_dependencies.record_rejected(
                                  "call", m_aggregator.level(2, m_time.now()), m_time.now());
                              done(false);
                          }});
    }

    bool m_admission;
    timeline m_time;
    std::mt19937_64 m_random{5};
    std::uint64_t m_last_id = 0;
    queued_target m_portal{m_time, 85};
    queued_target m_desk{m_time, 68};
    admission_meter m_meter;
    admission_level_aggregator m_aggregator;
    dependency_admission m_dependencies;
};

constexpr double lookup_call_work = 0.7 * 2 * 0.022; ///< slot seconds at the desk per lookup
constexpr double booking_work = 0.150;

} // namespace

// Guards against metastable overload: nested calls are rejected after the parent's target has
// worked on them, and the callers of the failed requests retry.
TEST_CASE("requests are shed before their target works when a called service lost half its slots") {
    two_tiers with(true);
    two_tiers without(false);
    for (two_tiers *tiers : {&with, &without}) {
        tiers->run(5s);
        tiers->reset_counts();
        tiers->set_desk(34);
        tiers->run(30s);
    }
    CHECK(with.of["lookup"].wasted <= 0.02 * with.of["lookup"].offered);
    CHECK(without.of["lookup"].wasted >= 0.2 * without.of["lookup"].offered);
    const auto useful = [](two_tiers &tiers) {
        return tiers.of["lookup"].in_time * lookup_call_work +
               tiers.of["booking"].in_time * booking_work;
    };
    CHECK(useful(with) >= 0.8 * 34 * 30);
    CHECK(useful(with) > useful(without));
    CHECK(std::abs(with.of["lookup"].share() - with.of["booking"].share()) <= 0.25);
}

// Guards against shedding that outlasts its cause.
TEST_CASE("all requests are admitted again after the called service has its slots back") {
    two_tiers tiers(true);
    tiers.run(3s);
    tiers.set_desk(20);
    tiers.run(10s);
    tiers.set_desk(68);
    tiers.run(5s);
    tiers.reset_counts();
    tiers.run(10s);
    CHECK(tiers.of["lookup"].share() >= 0.95);
    CHECK(tiers.of["booking"].share() >= 0.95);
}

// Guards against shedding requests that make no calls because of a service that only others call.
TEST_CASE("all requests are admitted where the called service has hardly any slots left") {
    two_tiers tiers(true);
    tiers.run(3s);
    tiers.set_desk(5);
    tiers.run(5s);
    tiers.reset_counts();
    tiers.run(30s);
    CHECK(tiers.of["lookup"].share() >= 0.2); // 0.3 of the lookups make no calls
    CHECK(tiers.of["booking"].in_time * booking_work >= 0.6 * 5 * 30);
}

TEST_CASE("rejected nested calls lower the admitted share, and accepted ones raise it again") {
    dependency_admission admission;
    CHECK(admission.admits(false, 0.99, start));
    instant now = start;
    for (int i = 0; i < 400; ++i, now += 5ms) {
        i % 2 == 0 ? admission.record_rejected("call", admission_level{}, now)
                   : admission.record_accepted("call", {}, now);
    }
    CHECK(admission.level(now).fresh <= 0.2);
    CHECK(admission.level(now).fresh > 0);
    for (int i = 0; i < 1000; ++i, now += 5ms) {
        admission.record_accepted("call", {}, now);
    }
    CHECK(admission.level(now).fresh == 1);
}

TEST_CASE("a rejected request on a route without nested calls does not lower the admitted share") {
    dependency_admission admission;
    admission.record_rejected("booking", std::nullopt, start);
    CHECK(admission.level(start).fresh == 1);
}

TEST_CASE("a level that is no longer reported expires") {
    dependency_admission admission;
    for (int i = 0; i < 100; ++i) {
        admission.record_accepted("call", {.fresh = 0.3, .expired = 0}, start);
    }
    CHECK(admission.level(start).fresh < 0.35);
    admission.record_accepted("other-call", {.fresh = 0.9, .expired = 1}, start);
    CHECK(admission.limiting_route(start) == "call");
    CHECK(admission.limiting_route(start + 3s).empty());
    CHECK(admission.level(start + 3s) == admission_level{});
}

// Guards against memory growth with each change of the routing table.
TEST_CASE("routes that are no longer requested are evicted") {
    admission_meter meter;
    admission_level_aggregator aggregator;
    instant now = start;
    for (int i = 0; i < 2000; ++i, now += 100ms) {
        const admission_class request{"r-" + std::to_string(i), false};
        meter.record_offered(request, now);
        aggregator.record(request, 1, 1, now);
    }
    CHECK(meter.size() <= 100);
    CHECK(aggregator.size() <= 100);
}

TEST_CASE("the accepted share is the mean of the shares that all senders measured") {
    admission_meter meter;
    const admission_class fresh{"booking", false};
    for (int i = 0; i < 20; ++i) {
        meter.record_offered(fresh, start);
        if (i % 4 == 0) {
            meter.record_rejected(fresh, start);
        }
    }
    CHECK(meter.share(fresh, start) == doctest::Approx(0.75));
    CHECK(meter.share({"booking", true}, start) == 1);
    admission_level_aggregator aggregator;
    for (int i = 0; i < 10; ++i) {
        aggregator.record(fresh, 1, 0.75, start);
        aggregator.record(fresh, 1, 0.25, start);
        aggregator.record({"report", false}, 3, 0,
                          start); // less urgent: excluded, since it has been shed already
    }
    CHECK(aggregator.level(2, start).fresh == doctest::Approx(0.5));
    CHECK(aggregator.level(0, start).fresh == 1);
    CHECK(aggregator.level(2, start).expired == 1);
}

TEST_CASE("a route is one of nested calls while they are reported") {
    dependency_admission dependencies;
    CHECK_FALSE(dependencies.calls("called", start));
    dependencies.record_accepted("called", {}, start);
    CHECK(dependencies.calls("called", start + 1s));
    CHECK_FALSE(dependencies.calls("other", start + 1s));
    CHECK_FALSE(dependencies.calls("called", start + 10s));
}
