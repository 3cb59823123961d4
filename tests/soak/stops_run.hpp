#pragma once

#include "platform_cluster.hpp"

#include <asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace peppertack::testing {

/// Nodes that stop in series which overlap and are started again at once, as the users' platform
/// does it, while callers keep their connections and some targets are slow. Guards against requests
/// that are given up for the sake of a stop, or refused with a word that isn't true.
class stops_run {
public:
    struct options {
        /// Callers send most to nodes that stop, with short deadlines, reads of longer answers and
        /// writes of longer bodies; five voters tolerate two losses; some nodes are told to stop
        /// while they start.
        bool pressed = false;
        bool starved = false; ///< nodes that stop run for short times only
    };

    stops_run(const std::string &programs, std::uint64_t seed, std::size_t nodes,
              const options &what);
    /// Plays so many series; yields whether nothing was violated.
    bool play(int series);

private:
    using clock = std::chrono::steady_clock;
    struct stop {
        clock::time_point since;
        std::optional<clock::time_point> again; ///< when the process, which has ended, is started
    };

    /// A time for which a starved node is paused, or runs.
    struct turn {
        bool paused = false;
        clock::time_point until;
    };

    platform_cluster::options cluster_options(const std::string &programs, std::uint64_t seed,
                                              std::size_t nodes);
    std::uint64_t draw(std::uint64_t below) { return m_random() % below; }
    std::uint64_t draw_load(std::uint64_t below) { return m_load() % below; }
    void play_series();
    void stop_one();
    void disturb();
    void send_for(duration time);
    void send_one();
    void send_to(std::size_t node);
    /// Sends to nodes that stop, up to the moment at which their processes end.
    void press();
    /// Starts a process again; some get SIGTERM while they start. Yields whether it did.
    bool start_again(std::size_t node);
    /// Pauses and continues nodes that stop, in turn.
    void starve();
    /// A voter reads back what was acknowledged, or something newer.
    void check_version();
    /// Starts again what has ended; ends what has had its time.
    void tend();
    bool report();

    options m_options;
    std::mt19937_64 m_random; ///< of what is disturbed, which load doesn't alter
    std::mt19937_64 m_load;   ///< of requests and runs
    std::vector<bool> m_slow; ///< by target
    platform_cluster m_cluster;
    std::map<std::size_t, stop> m_stops; ///< by node
    std::mt19937_64 m_duty;              ///< of turns of the processor
    std::map<std::size_t, turn> m_turns; ///< by node that stops
    asio::steady_timer m_turn;
    clock::time_point m_last_turn = clock::now();
    clock::duration m_worst_lag{};      ///< of this process, whose callers see ends so much later
    std::optional<std::size_t> m_voter; ///< that stops
    std::uint64_t m_version = 1;
    std::vector<std::string> m_violations;
};

} // namespace peppertack::testing
