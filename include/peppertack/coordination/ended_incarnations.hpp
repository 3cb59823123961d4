#pragma once

#include "peppertack/coordination/target_incarnation.hpp"
#include "peppertack/state/time.hpp"

#include <deque>
#include <string>

namespace peppertack {

/// Incarnations of a node's local target that are known to have ended or have announced that they
/// leave. A delayed call of one of them must not register it again. Not thread safe.
class ended_incarnations {
public:
    void note(const target_incarnation &incarnation, instant now);
    /// Whether this incarnation has ended. One without a start time has a unique name and stays
    /// ended. One with a start time that still calls after the retention has not ended: a refused
    /// connection was a fault of its node or kernel, and it must not be excluded for good.
    bool has_ended(const target_incarnation &incarnation, instant now) const;
    /// Whether any incarnation of this name has ended within the retention; those without a start
    /// time are never dropped by age.
    bool has_ended_recently(const std::string &name, instant now) const;
    /// Whether an ended incarnation of this name had a start time. A call without one then comes
    /// from a different sender.
    bool has_known_start(const std::string &name) const;

private:
    struct ended_incarnation {
        target_incarnation incarnation;
        instant at{};
    };

    static bool is_retained(const ended_incarnation &ended, instant now);

    std::deque<ended_incarnation> m_ended; ///< in order of time
};

} // namespace peppertack
