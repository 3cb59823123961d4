#pragma once

#include "platform_cluster.hpp"

#include <asio/steady_timer.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace peppertack::testing {

/// Targets that break off in the middle of answers, while callers send requests behind downloads
/// and behind large answers, and some read slowly. Nodes and voters are left alone.
///
/// Checks that a connection does not end before the deadline of a request which was passed on to a
/// target that did not break off, unless its caller left; that answers come in order, each for its
/// request and whole; that nothing runs behind a request that closes its connection; that each
/// connection is answered or ended in bounded time; and that the memory of nodes is bounded. Guards
/// against requests that are lost with an answer in front of them.
class cut_answers_run {
public:
    /// `crowded`: all callers are at one node, whose budget for held answers runs out.
    cut_answers_run(const std::string &programs, std::uint64_t seed, bool crowded);
    ~cut_answers_run();
    cut_answers_run(const cut_answers_run &) = delete;
    cut_answers_run &operator=(const cut_answers_run &) = delete;

    /// Plays so many strikes; yields whether nothing was violated.
    bool play(int steps);

private:
    class caller;

    struct counts {
        std::map<int, std::uint64_t> answers; ///< by status; -1: the connection ended
        std::uint64_t behind = 0;             ///< requests that were sent behind another
        std::uint64_t lost = 0;               ///< passed on to a sound target, against the rule
        std::uint64_t lost_on = 0;            ///< connections on which there were any
        std::uint64_t out_of_time = 0;        ///< as `lost`, but their deadline had passed
        std::uint64_t broken = 0;             ///< their own target broke off
        std::uint64_t never_run = 0;          ///< no target began to run them
        /// Answered 5xx though the target answered whole: a node had no time or room left.
        std::uint64_t failed = 0;
        std::uint64_t left = 0; ///< their caller closed the connection
    };

    platform_cluster::options cluster_options(const std::string &programs, std::uint64_t seed);
    answer_manner draw_manner(std::size_t target);
    std::uint64_t draw(std::uint64_t below) { return m_random() % below; }
    std::uint64_t draw_load(std::uint64_t below) { return m_load() % below; }
    void strike();
    /// Lets callers go on, each for a tick.
    void tend();
    void tend_targets();
    void look_at_nodes();
    bool finish();
    void report();
    void violate(const std::string &what) { m_violations.push_back(what); }

    bool m_crowded;
    std::mt19937_64 m_random;     ///< of what is disturbed, which load doesn't alter
    std::mt19937_64 m_load;       ///< of requests, runs and answers
    std::vector<bool> m_breaking; ///< by target
    platform_cluster m_cluster;
    std::vector<std::uint64_t> m_down; ///< by target: ticks until it is started again
    asio::steady_timer m_timer;
    std::vector<std::unique_ptr<caller>> m_callers;
    bool m_finishing = false;
    std::uint64_t m_ticks = 0;
    std::uint64_t m_version = 1;
    std::uint64_t m_largest = 0; ///< memory of a node, in bytes
    std::map<answer_manner::ending, std::uint64_t> m_endings;
    counts m_counts;
    std::vector<std::string> m_violations;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace peppertack::testing
