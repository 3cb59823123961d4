#include "peppertack/coordination/node_report.hpp"

#include <algorithm>

namespace peppertack {

namespace {

/// Three renewal intervals; a delta that takes longer to arrive is sent twice, which is harmless.
constexpr duration routes_resend_after = std::chrono::milliseconds(900);
/// The same for the map.
constexpr duration map_resend_after = std::chrono::milliseconds(900);
constexpr duration max_map_resend_delay = std::chrono::seconds(4);
/// Renewals of one incarnation of a node are numbered consecutively; other incarnations' numbers
/// are far apart from them.
constexpr std::uint64_t same_incarnation_renewals = 1'000'000;

} // namespace

/// A whole map of 200 targets and 2,600 ranges takes half a second over a 4 Mbit/s link, during
/// which a node renews three times. If each renewal were answered with the whole map, a leader
/// whose 200 nodes all return from a power loss would queue more than its memory, and the nodes'
/// links would carry nothing else for seconds.
std::uint64_t node_report::map_base(const renew_request &request, moment at) {
    const bool same_incarnation = sequence < request.sequence + same_incarnation_renewals &&
                                  request.sequence < sequence + same_incarnation_renewals;
    const bool same_base = same_incarnation && request.map_version == map_from;
    sequence = request.sequence;
    if (same_base && map_version > map_from && at.now < map_at + map_resend_delay) {
        return map_version;
    }
    // An update lost with its connection is sent again, with exponential backoff for slow links.
    map_resend_delay =
        same_base ? std::min(map_resend_delay * 2, max_map_resend_delay) : map_resend_after;
    map_from = request.map_version;
    map_at = at.now;
    return map_from;
}

/// A node renews several times while a large routing table is in flight over a slow link: sending
/// it with each renewal filled the leader's memory until it was killed. A lost delta is sent again
/// after the resend delay.
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
