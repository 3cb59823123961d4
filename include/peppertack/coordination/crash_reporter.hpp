#pragma once

#include "peppertack/coordination/messages.hpp"
#include "peppertack/coordination/suspect_list.hpp"
#include "peppertack/state/time.hpp"

#include <cstdint>
#include <deque>
#include <set>
#include <string>
#include <vector>

namespace peppertack {

/// Remembers which requests the target beside a node was running when its process ended. A broken
/// connection alone says nothing: answers are lost and connections reset for other reasons too.
/// Only once it is certain that the process has ended do the requests that it did not answer any
/// more become a report. Not thread safe.
class crash_reporter {
public:
    /// A life of the target has answered a request in full. `known`: what the leader told this
    /// node.
    void note_answered(std::uint64_t fingerprint, std::uint64_t life, const suspect_list &known,
                       instant now);
    /// A request that a life of the target (its incarnation) had begun to run got no whole answer.
    /// A fingerprint of zero is none.
    void note_unanswered(std::uint64_t fingerprint, std::uint64_t life, instant now);
    /// The process of that life has ended by itself.
    void note_end(const std::string &target, std::uint64_t life, instant now);
    /// Reports that have been complete for a moment and are not known to be recorded.
    std::vector<crash_report> due(instant now) const;
    /// Whether there is a report that has not been put into a renewal yet.
    bool urgent(instant now) const;
    void fill_report(renew_request &request, const suspect_list &known, instant now);
    /// The leader has recorded the ends of those lives.
    void recorded(const std::vector<std::uint64_t> &lives);

private:
    struct lost_run {
        std::uint64_t fingerprint = 0;
        std::uint64_t life = 0;
        instant at{};
    };
    struct answered_run {
        std::uint64_t fingerprint = 0;
        instant at{};
    };
    struct ended_process {
        std::string target;
        std::uint64_t life = 0;
        instant at{};
        bool reported = false;
    };

    std::vector<std::uint64_t> running_at_end(const ended_process &ended) const;
    bool answered_before(const lost_run &run) const;

    std::deque<lost_run> m_lost;          ///< in order of time
    std::vector<answered_run> m_answered; ///< by a part of the fingerprint; empty until needed
    std::uint64_t m_answering = 0;        ///< life that has answered last
    instant m_answered_at{};
    std::vector<ended_process> m_ended;
    std::set<std::uint64_t> m_acquitted; ///< suspect requests that were answered here
};

} // namespace peppertack
