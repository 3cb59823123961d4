#include "peppertack/coordination/node_report.hpp"

#include <algorithm>

namespace peppertack {

namespace {

/// Three renewals; a routing table that takes longer on its way is sent once more, no harm.
constexpr duration routes_resend_after = std::chrono::milliseconds(900);
/// The same for the map.
constexpr duration map_resend_after = std::chrono::milliseconds(900);
constexpr duration longest_map_pause = std::chrono::seconds(4);
/// Renewals of one life of a node are numbered one by one, those of another far apart from them.
constexpr std::uint64_t same_life_renewals = 1'000'000;

} // namespace

/// A whole map of 200 targets and 2,600 ranges takes half a second over a link of 4 Mbit/s, in
/// which a node renews three times. Answered with the whole map each time, a leader whose 200 nodes
/// all came back from a loss of power queued more than its memory, and the nodes' links carried
/// nothing else for seconds.
std::uint64_t node_report::map_base(const renew_request &request, moment at) {
    const bool same_life = sequence < request.sequence + same_life_renewals &&
                           request.sequence < sequence + same_life_renewals;
    const bool same_base = same_life && request.map_version == map_from;
    sequence = request.sequence;
    if (same_base && map_version > map_from && at.now < map_at + map_pause) {
        return map_version;
    }
    // What was lost with its connection is sent again; over a slow link less and less often.
    map_pause = same_base ? std::min(map_pause * 2, longest_map_pause) : map_resend_after;
    map_from = request.map_version;
    map_at = at.now;
    return map_from;
}

/// A node renews several times while a large routing table is on its way to it over a slow link:
/// sending it with each renewal filled the leader's memory until it was killed. What was lost is
/// sent again.
bool node_report::routes_due(std::uint64_t from, std::uint64_t to, moment at) {
    const bool sent = from == routes_from && to == routes_to;
    if (sent && at.now < routes_at + routes_resend_after) {
        return false;
    }
    routes_from = from;
    routes_to = to;
    routes_at = at.now;
    return true;
}

} // namespace peppertack
