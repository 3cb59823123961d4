#pragma once

#include "peppertack/coordination/hold_call_scheduler.hpp"
#include "peppertack/state/error_kind.hpp"
#include "peppertack/state/time.hpp"
#include "peppertack/transport/delay_meter.hpp"

#include <array>
#include <boost/histogram.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace peppertack {

/// Counters and latency histograms of a node's traffic. Not thread safe: it belongs to the traffic
/// thread, which also writes the text.
class traffic_metrics {
public:
    /// A caller has its answer: the target's (`status`), or a refusal of this system (`error`).
    void note_answer(const std::string &route, int status, error_kind error, duration took);
    /// An answer of the target came after the latency objective; `returned`: its caller had been
    /// rejected before.
    void note_late(const std::string &route, bool returned);
    /// A request left the queue beside the target.
    void note_queue(duration waited);
    /// A large body was asked for by the node that is to take it in.
    void note_body_wait(duration waited);
    /// The target has answered.
    void note_target(duration took);
    /// A target named a limit that is no number above zero.
    void note_unreadable_limit() { ++m_unreadable_limits; }
    void note_retry() { ++m_retries; }
    void note_cancelled() { ++m_cancelled; }
    /// A forwarded request was not finished when this node stopped; `running`: the target had it.
    void note_given_up(bool running) { ++(running ? m_given_up_running : m_given_up_waiting); }
    /// A call of a target, or of another writer in its name, was refused.
    void note_refused_call() { ++m_refused_calls; }
    /// A call by which the target is handed keys, or asked for them, is over.
    void note_hold_call(hold_call::kind what, hold_call_end::kind result);
    std::uint64_t answers() const { return m_answers; }
    /// Answers by route and cause since this was last asked. A cause is the name of an error kind,
    /// or the status that the target gave.
    std::map<std::string, std::map<std::string, std::uint64_t>> take_answers_by_cause() {
        return std::exchange(m_by_cause, {});
    }

    /// How late the traffic thread ran what was due.
    void note_thread_delay(duration delay, instant now) { m_thread_delay.note(delay, now); }

    /// How long a connection that had become readable waited for the traffic thread.
    void note_read_delay(duration delay, instant now) { m_read_delay.note(delay, now); }

    /// Text in the Prometheus exposition format.
    std::string text() const;

private:
    using axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using histogram = decltype(boost::histogram::make_histogram(axis(1, 1.0, 2.0)));
    static histogram make_latency_histogram();

    std::map<std::string, histogram> m_by_route;
    histogram m_queue = make_latency_histogram();
    histogram m_body_wait = make_latency_histogram();
    histogram m_target = make_latency_histogram();
    delay_meter m_thread_delay{{.metric = "peppertack_traffic_thread_delay_ms",
                                .event = "traffic_thread_stalled",
                                .log_above = std::chrono::milliseconds(250)}};
    delay_meter m_read_delay{{.metric = "peppertack_read_delay_ms",
                              .event = "reads_late",
                              .log_above = std::chrono::milliseconds(250)}};
    std::array<std::uint64_t, error_kind_count> m_by_error{};
    std::map<int, std::uint64_t> m_by_status_class;
    std::map<std::string, std::map<std::string, std::uint64_t>> m_by_cause;
    std::uint64_t m_answers = 0;
    std::uint64_t m_retries = 0;
    std::uint64_t m_unreadable_limits = 0;
    std::uint64_t m_cancelled = 0;
    std::uint64_t m_refused_calls = 0;
    std::uint64_t m_given_up_running = 0;
    std::uint64_t m_given_up_waiting = 0;
    std::map<std::pair<hold_call::kind, hold_call_end::kind>, std::uint64_t> m_hold_calls;
};

} // namespace peppertack
