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

/// Records which requests the local target was running when its process ended. A broken connection
/// alone proves nothing, since answers are lost and connections reset for other reasons too.
/// Unanswered requests become a crash report only once it is certain that the process has ended.
/// Not thread safe.
class crash_reporter {
public:
    /// Records that an incarnation of the target (`incarnation`) has answered a request in full.
    /// `known`: the suspects that the leader reported to this node.
    void note_answered(std::uint64_t fingerprint, std::uint64_t incarnation,
                       const suspect_list &known, instant now);
    /// Records that a request that an incarnation of the target (`incarnation`) had begun to run
    /// got no complete answer. A fingerprint of zero is ignored.
    void note_unanswered(std::uint64_t fingerprint, std::uint64_t incarnation, instant now);
    /// Records that the process of that incarnation has ended unexpectedly.
    void note_end(const std::string &target, std::uint64_t incarnation, instant now);
    /// Reports whose delay has passed and that are not known to be recorded by the leader.
    std::vector<crash_report> due(instant now) const;
    /// Whether a due report has not been put into a renewal yet.
    bool has_unsent_report(instant now) const;
    void fill_report(renew_request &request, const suspect_list &known, instant now);
    /// Drops the reports for incarnations whose ends the leader has recorded.
    void recorded(const std::vector<std::uint64_t> &incarnations);

private:
    struct lost_run {
        std::uint64_t fingerprint = 0;
        std::uint64_t incarnation = 0;
        instant at{};
    };
    struct answered_run {
        std::uint64_t fingerprint = 0;
        instant at{};
    };
    struct ended_process {
        std::string target;
        std::uint64_t incarnation = 0;
        instant at{};
        bool reported = false;
    };

    std::vector<std::uint64_t> running_at_end(const ended_process &ended) const;
    bool answered_before(const lost_run &run) const;

    std::deque<lost_run> m_lost;          ///< in order of time
    std::vector<answered_run> m_answered; ///< indexed by the fingerprint modulo the size; empty
                                          ///< until needed
    std::uint64_t m_last_answering = 0;   ///< incarnation that answered last
    instant m_last_answer_at{};
    std::vector<ended_process> m_ended;
    std::set<std::uint64_t> m_acquitted; ///< suspect requests that were answered by the local
                                         ///< target
};

} // namespace peppertack
