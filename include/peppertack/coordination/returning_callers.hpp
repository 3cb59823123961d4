#pragma once

#include "peppertack/state/time.hpp"

#include <map>
#include <optional>
#include <string>

namespace peppertack {

/// Remembers callers that were refused, so that a request which comes back is known as such.
///
/// A caller that comes back has used up part or all of its latency objective. Taken for a new one
/// it is served in place of one that could still be in time: a target that was asked for twice what
/// it can do answered 36 in 100 late, and none since (virtual time, callers that come back twice).
/// Each attempt has an id of its own, but the same last moment up to which its caller waits; a new
/// caller of the same patience has a later one than any that was refused before. Not thread safe.
class returning_callers {
public:
    /// A request whose caller first asked at `asked`, and waits until `deadline`, was refused with
    /// a time to come back.
    void note(const std::string &route, instant deadline, instant asked, instant now);
    /// When the caller of a request first asked, if it was refused before and that is over 60 ms
    /// ago; it is forgotten then.
    std::optional<instant> take(const std::string &route, instant deadline, instant now);

    std::size_t size() const { return m_size; }

private:
    using by_deadline = std::multimap<instant, instant>; ///< to when the caller first asked
    void forget_gone(by_deadline &callers, instant now);

    std::map<std::string, by_deadline> m_routes;
    std::size_t m_size = 0;
};

} // namespace peppertack
