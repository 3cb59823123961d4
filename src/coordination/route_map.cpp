#include "peppertack/coordination/route_map.hpp"

#include <algorithm>
#include <bit>
#include <limits>

namespace peppertack {

const range_record &route_map::service_map::at(std::uint64_t hash) const {
    const std::size_t part = hash >> part_shift;
    const auto from = firsts.begin() + starts[part];
    const auto to = firsts.begin() + starts[part + 1] + 1;
    const auto after = std::upper_bound(from, to, hash);
    return ranges[static_cast<std::size_t>(std::distance(firsts.begin(), after)) - 1];
}

void route_map::service_map::index() {
    const unsigned int bits =
        std::max(1U, static_cast<unsigned int>(std::bit_width(firsts.size())));
    const std::size_t parts = std::size_t{1} << bits;
    part_shift = 64 - bits;
    starts.assign(parts + 1, static_cast<std::uint32_t>(firsts.size() - 1));
    std::size_t at = 0;
    for (std::size_t part = 0; part < parts; ++part) {
        const std::uint64_t hash = static_cast<std::uint64_t>(part) << part_shift;
        while (at + 1 < firsts.size() && firsts[at + 1] <= hash) {
            ++at;
        }
        starts[part] = static_cast<std::uint32_t>(at);
    }
}

std::uint64_t route_map::service_map::last_hash(std::size_t index) const {
    return index + 1 < firsts.size() ? firsts[index + 1] - 1
                                     : std::numeric_limits<std::uint64_t>::max();
}

bool route_map::apply(const map_update &update) {
    const bool whole = update.from == 0;
    if (whole ? update.to <= m_version : update.from != m_version) {
        return false;
    }
    // The update reflects an older state than one already seen, as from a replaced leader: it could
    // bring back the start of a move that has already finished here.
    if (update.as_of < m_as_of) {
        return false;
    }
    m_as_of = update.as_of;
    if (whole) {
        m_targets.clear();
    }
    for (const target_route &target : update.targets) {
        m_targets[target.number] = target;
    }
    for (const service_ranges &part : update.services) {
        if (m_maps.find(part.service) == m_maps.end()) {
            m_services.push_back(part.service);
        }
        if (part.whole) {
            replace_ranges(part);
        } else {
            merge_ranges(part);
        }
    }
    m_version = update.to;
    return true;
}

void route_map::replace_ranges(const service_ranges &part) {
    service_map &map = m_maps[part.service];
    map.ranges = part.ranges;
    map.firsts.clear();
    for (const range_record &range : map.ranges) {
        map.firsts.push_back(range.first);
    }
    if (!map.firsts.empty()) {
        map.index();
    }
}

void route_map::merge_ranges(const service_ranges &part) {
    service_map &map = m_maps[part.service];
    for (const range_record &range : part.ranges) {
        const auto place = std::lower_bound(map.firsts.begin(), map.firsts.end(), range.first);
        const auto index = std::distance(map.firsts.begin(), place);
        if (place != map.firsts.end() && *place == range.first) {
            map.ranges[static_cast<std::size_t>(index)] = range;
        } else {
            map.firsts.insert(place, range.first);
            map.ranges.insert(map.ranges.begin() + index, range);
        }
    }
    for (const std::uint64_t first : part.removed) {
        const auto place = std::lower_bound(map.firsts.begin(), map.firsts.end(), first);
        if (place != map.firsts.end() && *place == first) {
            const auto index = std::distance(map.firsts.begin(), place);
            map.firsts.erase(place);
            map.ranges.erase(map.ranges.begin() + index);
        }
    }
    if (!map.firsts.empty()) {
        map.index();
    }
}

const route_map::service_map *route_map::find_service(std::string_view service) const {
    const auto found = m_maps.find(service);
    return found == m_maps.end() ? nullptr : &found->second;
}

const range_record *route_map::find_range(std::string_view service, std::uint64_t hash) const {
    const service_map *map = find_service(service);
    return map == nullptr || map->ranges.empty() ? nullptr : &map->at(hash);
}

const target_route *route_map::find_target(target_number number) const {
    const auto found = m_targets.find(number);
    return found == m_targets.end() ? nullptr : &found->second;
}

} // namespace peppertack
