#include "hold_fuzz.hpp"

#include "held_lease.hpp"
#include "peppertack/coordination/hold_call_scheduler.hpp"

#include <algorithm>
#include <array>
#include <map>
#include <random>
#include <utility>

namespace peppertack::testing {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t range_count = 4;
constexpr std::uint32_t range_keys = 65536 / range_count;
constexpr double slowest_clock = 1.02; ///< slowest permitted rate of a target's clock
constexpr int steps = 400;
constexpr duration rounding = 1ms;

/// A simulated target that counts a grant from its arrival and guarantees nothing else; in
/// particular, it does not compare tokens when it executes a grant late.
class delayed_target {
public:
    struct hold {
        std::uint32_t from = 0;
        std::uint32_t to = 0;
        instant until{};
    };
    struct delayed_grant {
        instant at{};
        hold item;
    };

    void grant(const held_span &span, duration length, instant arrived, instant carried_out) {
        const auto max_real_length = duration(
            static_cast<duration::rep>(static_cast<double>(length.count()) * slowest_clock));
        m_delayed.push_back({carried_out, {span.from, span.to, arrived + max_real_length}});
    }
    /// Accepts no new requests; running ones end at `work_until`.
    void release(const held_span &span, instant read, instant work_until) {
        m_releases.push_back({read, span, work_until});
    }
    void step(instant now) {
        std::stable_sort(m_delayed.begin(), m_delayed.end(),
                         [](const auto &a, const auto &b) { return a.at < b.at; });
        // What comes at the same moment comes as grant and then as release.
        for (const delayed_grant &item : m_delayed) {
            if (item.at <= now) {
                m_holds.push_back(item.item);
            }
        }
        std::erase_if(m_delayed, [now](const delayed_grant &item) { return item.at <= now; });
        for (const delayed_release &item : m_releases) {
            if (item.read <= now) {
                carry_out(item.span, item.work_until);
            }
        }
        std::erase_if(m_releases, [now](const delayed_release &item) { return item.read <= now; });
        std::erase_if(m_holds, [now](const hold &item) { return item.until <= now; });
    }
    /// Whether any key from `from` to `to` is held or has a running request.
    bool holds(std::uint32_t from, std::uint32_t to) const {
        return std::any_of(m_holds.begin(), m_holds.end(),
                           [&](const hold &item) { return item.from <= to && from <= item.to; });
    }

private:
    struct delayed_release {
        instant read{};
        held_span span;
        instant work_until{};
    };

    void carry_out(const held_span &span, instant work_until) {
        std::vector<hold> left;
        for (const hold &old : m_holds) {
            if (old.to < span.from || span.to < old.from) {
                left.push_back(old);
                continue;
            }
            if (old.from < span.from) {
                left.push_back({old.from, span.from - 1, old.until});
            }
            if (span.to < old.to) {
                left.push_back({span.to + 1, old.to, old.until});
            }
            left.push_back({std::max(old.from, span.from), std::min(old.to, span.to),
                            std::min(old.until, work_until)});
        }
        m_holds = std::move(left);
    }
    std::vector<hold> m_holds;
    std::vector<delayed_grant> m_delayed;
    std::vector<delayed_release> m_releases;
};

class hold_simulation {
public:
    explicit hold_simulation(std::uint64_t seed) : m_random(seed), m_lease(m_now) {
        for (std::size_t i = 0; i < range_count; ++i) {
            m_ranges[i] = {.first = ordered_key_hash(first_key(i)),
                           .owner = held_lease::own,
                           .token = ++m_last_token};
        }
        publish_ranges();
    }

    std::string run() {
        for (int i = 0; i < steps && m_violation.empty(); ++i) {
            step();
        }
        return m_violation;
    }

private:
    struct sent_call {
        hold_call call;
        instant write_at{};
        bool written = false;
        instant answer_at{}; ///< when the target answers, if it does
        bool answers = false;
        hold_call_end end;
    };
    /// The target serves one call of a connection after the other.
    struct connection {
        std::uint64_t number = 0;
        std::uint64_t call = 0; ///< in progress; 0: none
        bool used = false;
        bool repeats = false; ///< the target answers a grant once more
        instant served_until{};
    };

    bool chance(int in_hundred) { return static_cast<int>(m_random() % 100) < in_hundred; }
    duration random_up_to(duration most) {
        return duration(
            static_cast<duration::rep>(m_random() % static_cast<std::uint64_t>(most.count() + 1)));
    }
    static std::uint32_t first_key(std::size_t range) {
        return static_cast<std::uint32_t>(range) * range_keys;
    }

    void step() {
        advance(chance(2) ? random_up_to(4s)
                          : random_up_to(60ms)); // the node is paused occasionally
        if (chance(3)) {
            m_disconnected_until = m_now + random_up_to(4s);
        }
        if (m_now >= m_disconnected_until) {
            m_lease.renew(m_now);
        }
        if (chance(10)) {
            change_range(m_random() % range_count);
        }
        for (const std::uint64_t id : m_scheduler.overdue(m_now)) {
            m_sent.erase(id);
            m_scheduler.end(id, {.result = hold_call_end::kind::lost}, m_now);
        }
        std::erase_if(m_sent,
                      [&](const auto &item) { return !m_scheduler.is_in_flight(item.first); });
        std::erase_if(m_connections, [&](const connection &item) {
            return item.call != 0 && m_sent.count(item.call) == 0; // given up with its call
        });
        write_calls();
        end_calls();
        for (const hold_call &call : m_scheduler.due(m_lease.client, m_now, m_now)) {
            m_sent[call.id] = {.call = call,
                               .write_at = m_now + (chance(5) ? random_up_to(100ms) : 0ms)};
        }
        write_calls();
        take_releases();
    }

    /// Advances the time in small steps; the target acts and the invariants are checked in each.
    void advance(duration time) {
        const instant end = m_now + time;
        while (m_now < end && m_violation.empty()) {
            m_now = std::min(end, m_now + 10ms);
            m_target.step(m_now);
            check_holds();
        }
    }

    void check_holds() {
        for (std::size_t i = 0; i < range_count; ++i) {
            const bool held = m_target.holds(first_key(i), first_key(i) + range_keys - 1);
            if (held && m_ranges[i].owner == held_lease::other) {
                m_violation = "keys of range " + std::to_string(i) +
                              " are held after they moved to another target";
            }
            // After the lease has ended the leader may reassign the keys without a release.
            if (held && m_now > m_lease.client.lease_until() + rounding) {
                m_violation =
                    "keys of range " + std::to_string(i) + " are held after the lease ended";
            }
        }
    }

    void write_calls() {
        for (auto &[id, item] : m_sent) {
            if (item.written || m_now < item.write_at) {
                continue;
            }
            const auto length = m_scheduler.write(id, m_lease.client, m_now);
            if (!length) {
                m_scheduler.end(id, {.result = hold_call_end::kind::not_sent}, m_now);
                continue;
            }
            item.written = true;
            item.answers = !chance(20);
            connection &over = connection_for(item.call);
            item.end = {.result = hold_call_end::kind::done,
                        .identified = !over.used,
                        .connection = over.number};
            over.call = id;
            if (item.call.what == hold_call::kind::grant) {
                send_grant(item, over, *length);
            } else {
                send_release(item, over);
            }
            over.used = true;
        }
        m_target.step(m_now);
    }

    connection &connection_for(const hold_call &call) {
        for (connection &item : m_connections) {
            if (item.call == 0 && !call.alone) {
                return item;
            }
        }
        m_connections.push_back({.number = ++m_last_connection});
        return m_connections.back();
    }

    void send_grant(sent_call &item, connection &over, duration length) {
        if (over.repeats && std::exchange(over.repeats, false)) {
            // The answer to the grant before comes once more, and this grant is read later.
            item.answers = true;
            item.answer_at = m_now;
            const instant arrived = std::max(m_now, over.served_until) + random_up_to(200ms);
            over.served_until = std::min(arrived, m_now + 240ms);
            m_target.grant(item.call.span, length, over.served_until, over.served_until);
            return;
        }
        if (item.answers) {
            const instant arrived = std::max(m_now, over.served_until);
            item.answer_at = arrived + random_up_to(20ms);
            over.repeats = chance(5);
            m_target.grant(item.call.span, length, arrived, arrived);
            return;
        }
        if (chance(70)) {
            const instant arrived = m_now + random_up_to(240ms);
            m_target.grant(item.call.span, length, arrived, arrived + random_up_to(3s));
        }
    }

    void send_release(sent_call &item, connection &over) {
        const instant read = std::max(m_now, over.served_until);
        const instant work_until = read + (chance(30) ? random_up_to(1500ms) : 0ms);
        item.answer_at = work_until;
        if (over.repeats) {
            item.answers = true;
            item.answer_at = m_now;
            item.end.identified = false; // it is an answer to a grant
        } else {
            item.end.identified = true;
            item.end.handover = "h";
        }
        if (item.answers || chance(50)) {
            m_target.release(item.call.span, read, work_until);
        }
    }

    void end_calls() {
        std::vector<std::uint64_t> over;
        for (const auto &[id, item] : m_sent) {
            const bool grant = item.call.what == hold_call::kind::grant;
            if (item.written && item.answers && item.answer_at <= m_now) {
                end_connection_of(id, grant);
                m_scheduler.end(id, item.end, m_now);
                over.push_back(id);
            } else if (item.written && !item.answers && !grant && chance(10)) {
                m_scheduler.end(id, {.result = hold_call_end::kind::lost}, m_now);
                over.push_back(id);
            }
        }
        for (const std::uint64_t id : over) {
            m_sent.erase(id);
        }
    }

    /// A connection that carried a release is not used again.
    void end_connection_of(std::uint64_t call, bool keep) {
        for (connection &item : m_connections) {
            if (item.call == call && keep) {
                item.call = 0;
            }
        }
    }

    /// The leader plans a move, cancels one, or returns a range.
    void change_range(std::size_t index) {
        range_record &range = m_ranges[index];
        if (range.owner == held_lease::other) {
            range.owner = held_lease::own;
            range.token = ++m_last_token;
            range.handover = chance(50) ? "from-other" : "";
        } else {
            range.next = range.next == no_target ? held_lease::other : no_target;
        }
        publish_ranges();
    }

    void take_releases() {
        for (const range_report &report : m_lease.released(m_manager)) {
            for (range_record &range : m_ranges) {
                if (range.first == report.first && range.token == report.token &&
                    range.next == held_lease::other) {
                    range.owner = held_lease::other;
                    range.next = no_target;
                    range.token = ++m_last_token;
                }
            }
        }
        check_holds();
        publish_ranges();
    }

    void publish_ranges() { m_lease.set_ranges({m_ranges.begin(), m_ranges.end()}); }

    std::mt19937_64 m_random;
    instant m_now{1000s};
    held_lease m_lease;
    hold_manager m_manager{{}};
    hold_call_scheduler m_scheduler{{.previous_process_hold = 0ms}, m_manager};
    delayed_target m_target;
    std::array<range_record, range_count> m_ranges;
    fencing_token m_last_token = 0;
    std::map<std::uint64_t, sent_call> m_sent;
    std::vector<connection> m_connections;
    std::uint64_t m_last_connection = 0;
    instant m_disconnected_until{};
    std::string m_violation;
};

} // namespace

std::string run_hold_sequence(std::uint64_t seed) {
    return hold_simulation(seed).run();
}

} // namespace peppertack::testing
