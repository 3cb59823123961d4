#pragma once

#include "peppertack/state/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace peppertack::testing {

/// Watches requests and runs while nodes stop, and tells which were given up though their target
/// was at work. Not thread safe.
class stop_oracle {
public:
    /// Bounds of what a node that stops may give up, counted from its SIGTERM.
    struct options {
        duration grace = std::chrono::seconds(6);
        duration sent_by = std::chrono::seconds(3); ///< requests sent later must not be given up
        /// A connection that ends later than this after a request was sent owes it an answer.
        duration lost_after = std::chrono::milliseconds(200);
    };
    /// What became of the requests that were checked.
    struct tally {
        std::map<int, std::uint64_t> answers; ///< by status; -1: the connection ended
        std::uint64_t runs = 0;
        std::uint64_t cut = 0;          ///< runs whose connection was closed
        std::uint64_t cut_served = 0;   ///< of these, those whose caller got a success
        std::uint64_t out_of_time = 0;  ///< given up when their time was over
        std::uint64_t last_sixth = 0;   ///< given up at the end of the grace time, as is allowed
        std::uint64_t given_up = 0;     ///< at work, against the rules
        std::uint64_t lost_answers = 0; ///< the target had answered, the caller got a failure
        std::uint64_t unfounded = 0;    ///< answered 502 though no target ran it
        std::uint64_t crossed = 0;      ///< sent just before their connection ended
        std::uint64_t unanswered = 0;   ///< not run, and their connection ended later
    };

    /// A caller sends a request to `node`; its deadline and its route's time-out end at `limit`.
    void note_sent(const std::string &id, std::size_t node, instant limit);
    /// `kept`: the request goes over a connection that served others before.
    void note_connection(const std::string &id, bool kept) { m_requests[id].kept = kept; }
    /// `unsent`: no connection could be made, so that nothing was sent.
    void note_answer(const std::string &id, int status, bool unsent);
    void note_run(const std::string &id, std::size_t target);
    /// The run ended; `cut`: its connection was closed before its answer.
    void note_run_end(const std::string &id, std::size_t target, bool cut);
    /// A process beside a target got its first SIGTERM.
    void note_stop(std::size_t node);
    /// Judges all requests noted so far, which must be over. Yields the violations.
    std::vector<std::string> check();
    const tally &counts() const { return m_tally; }

private:
    struct run {
        std::size_t target = 0;
        instant began{};
        instant ended{};
        bool cut = false;
    };
    struct request {
        std::size_t node = 0;
        std::int64_t sent_ms = 0; ///< by the wall clock, as in logs
        instant sent{};
        instant limit{};
        instant answered{};
        int status = 0;
        bool unsent = false;
        bool kept = false;
        std::vector<run> runs;
    };

    void judge(const std::string &id, const request &asked, std::vector<std::string> &violations);
    void judge_without_run(const std::string &id, const request &asked,
                           std::vector<std::string> &violations);
    bool in_last_sixth(const request &asked, instant given_up) const;
    std::string story(const std::string &id, const request &asked) const;
    /// How long a node had been stopping at `at`, for people; empty: it was not.
    std::string since_stop(std::size_t node, instant at) const;

    options m_options;
    std::map<std::string, request> m_requests;
    std::map<std::size_t, std::vector<instant>> m_stops; ///< by node, ascending
    tally m_tally;
};

} // namespace peppertack::testing
