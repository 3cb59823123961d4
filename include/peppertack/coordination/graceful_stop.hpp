#pragma once

#include "peppertack/state/time.hpp"

#include <cstddef>
#include <cstdint>

namespace peppertack {

/// Decides what a node that was told to stop still takes, and when its process may end. Work is
/// taken only where its deadline lies before the moment at which unfinished work is given up, so
/// that a target is not interrupted for the sake of the stop, whoever else stops meanwhile. Times
/// are counted from `begin`. Not thread safe.
class graceful_stop {
public:
    struct options {
        /// Requests of callers are expected for so long: they learn of the stop by health checks.
        duration acceptance{};
        /// From then on new requests of callers are refused: those that were not told, or have
        /// nowhere else to go, never cease. Nested calls of running requests are still taken.
        duration refusal{};
        duration limit{};        ///< the process ends no later
        duration answers{};      ///< so long before `limit` whatever still waits is answered
        duration closing_time{}; ///< for other nodes to close their connections
    };
    /// What is unfinished now.
    struct open_work {
        std::size_t callers = 0;     ///< requests of callers, without nested calls
        std::size_t requests = 0;    ///< all requests, those of other nodes included
        std::size_t unsent = 0;      ///< connections to which answers are still being written
        std::size_t connections = 0; ///< of other nodes
    };
    enum class phase : std::uint8_t {
        serving,   ///< not stopping, or stopping and still taking work of other nodes
        finishing, ///< takes no new work of other nodes, and finishes what it has taken
        closing,   ///< nothing is in flight; other nodes are told that their connections end
        ended      ///< the process may end
    };

    explicit graceful_stop(const options &settings) : m_options(settings) {}

    /// Begins the stop. No effect if it has begun.
    void begin(instant now);
    bool begun() const { return m_begun; }
    phase current() const { return m_phase; }
    /// Time since `begin`; zero if the stop has not begun.
    duration elapsed(instant now) const { return m_begun ? now - m_since : duration{}; }
    /// Whether a new request of a caller, or a nested call, with that deadline is taken.
    bool takes_from_caller(bool nested, instant deadline, instant now) const;
    /// Whether a new request that another node forwards is taken.
    bool takes_forwarded(instant deadline) const {
        return m_phase == phase::serving && may_start(deadline);
    }
    /// Whether a request that was taken may still be given to the target.
    bool may_start(instant deadline) const { return !m_begun || deadline <= gives_up_at(); }
    /// Whether the time has come to answer all unfinished requests. True once.
    bool take_give_up(instant now);
    /// Estimated time until the process ends; `run`: how long requests take. Precondition:
    /// `begun()`.
    duration remaining(duration run, instant now) const;
    /// Moves on to the next phase where `open` and the time allow it; past the limit to the last.
    /// Precondition: `begun()`.
    phase advance(const open_work &open, instant now);

private:
    instant gives_up_at() const { return m_since + m_options.limit - m_options.answers; }

    options m_options;
    bool m_begun = false;
    bool m_gave_up = false;
    phase m_phase = phase::serving;
    instant m_since{};
    instant m_closing_since{};
};

/// Name of a phase in logs.
const char *name_of(graceful_stop::phase value);

} // namespace peppertack
