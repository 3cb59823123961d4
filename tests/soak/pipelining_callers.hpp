#pragma once

#include "platform_cluster.hpp"

#include <asio/steady_timer.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace peppertack::testing {

/// Callers that send 1 to 8 requests on a connection before the first is answered, at times one
/// that takes effect once among them, and use each connection until its node closes it, which a
/// request may ask for. Some read slowly, all of these from one node; some close a connection
/// early.
///
/// Checks that answers come in order, each for its request; that no request that takes effect once
/// has run when it is behind an answer that closes its connection; that each connection is answered
/// or ended in bounded time; and that the memory of nodes is bounded. What became of the requests
/// is left to `platform_cluster::check_requests`. Not thread safe; belongs to the cluster's loop.
class pipelining_callers {
public:
    /// Begins at once. Precondition: the cluster outlives this object and serves.
    pipelining_callers(platform_cluster &cluster, std::uint64_t seed);
    ~pipelining_callers();
    pipelining_callers(const pipelining_callers &) = delete;
    pipelining_callers &operator=(const pipelining_callers &) = delete;

    /// Sends nothing new, runs the loop until all is answered, and prints counts and violations.
    /// Yields whether nothing was violated.
    bool finish();

private:
    class caller;

    std::uint64_t draw(std::uint64_t below) { return m_random() % below; }
    void tend();
    void look_at_nodes();
    void violate(const std::string &what) { m_violations.push_back(what); }

    platform_cluster &m_cluster;
    std::mt19937_64 m_random;
    asio::steady_timer m_timer;
    std::vector<std::unique_ptr<caller>> m_callers;
    std::set<std::size_t> m_paused; ///< nodes whose processes stand still and answer nothing
    bool m_finishing = false;
    std::uint64_t m_ticks = 0;
    std::map<int, std::uint64_t> m_answers; ///< by status; -1: the connection ended
    std::uint64_t m_resent = 0;             ///< behind an answer that closes its connection
    std::uint64_t m_largest = 0;            ///< memory of a node, in bytes
    std::vector<std::string> m_violations;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace peppertack::testing
