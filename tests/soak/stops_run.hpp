#pragma once

#include "platform_cluster.hpp"

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
    stops_run(const std::string &programs, std::uint64_t seed, std::size_t nodes);
    /// Plays so many series; yields whether nothing was violated.
    bool play(int series);

private:
    using clock = std::chrono::steady_clock;
    struct stop {
        clock::time_point since;
        std::optional<clock::time_point> again; ///< when the process, which has ended, is started
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
    /// Starts again what has ended; ends what has had its time.
    void tend();
    bool report();

    std::mt19937_64 m_random; ///< of what is disturbed, which load doesn't alter
    std::mt19937_64 m_load;   ///< of requests and runs
    std::vector<bool> m_slow; ///< by target
    platform_cluster m_cluster;
    std::map<std::size_t, stop> m_stops; ///< by node
    std::optional<std::size_t> m_voter;  ///< that stops
    std::uint64_t m_version = 1;
    std::vector<std::string> m_violations;
};

} // namespace peppertack::testing
