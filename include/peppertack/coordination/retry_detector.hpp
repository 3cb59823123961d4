#pragma once

#include "peppertack/state/time.hpp"

#include <map>
#include <optional>
#include <string>

namespace peppertack {

/// Recognises retries of refused callers.
///
/// A retry has used up part or all of its latency objective. Treated as a new request it would be
/// served in place of one that can still meet its objective: in virtual time, at twice the capacity
/// and with two retries per caller, 36% of the answers were late without recognition and none with
/// it. Attempts have different ids but the same deadline of the caller; a new caller with the same
/// time-out has a later deadline than any that was refused before. Not thread safe.
class retry_detector {
public:
    /// Records that a request was refused with a retry time; its caller first sent it at
    /// `first_sent` and waits until `deadline`.
    void record_refusal(const std::string &route, instant deadline, instant first_sent,
                        instant now);
    /// Returns when the caller of a request first sent it, if it was refused before and first sent
    /// more than 60 ms ago. Removes the record.
    std::optional<instant> take(const std::string &route, instant deadline, instant now);

    std::size_t size() const { return m_size; }

private:
    using by_deadline =
        std::multimap<instant, instant>; ///< deadline to the time of the first attempt
    void remove_expired(by_deadline &callers, instant now);

    std::map<std::string, by_deadline> m_routes;
    std::size_t m_size = 0;
};

} // namespace peppertack
