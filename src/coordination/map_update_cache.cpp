#include "peppertack/coordination/map_update_cache.hpp"

#include <algorithm>
#include <set>

namespace peppertack {

namespace {

constexpr std::size_t max_cached_updates = 64;

} // namespace

target_route route_of(const target_record &record) {
    return {.number = record.number,
            .name = record.name,
            .service = record.service,
            .failure_domain = record.failure_domain,
            .address = record.node_address,
            .phase = record.phase,
            .slots = record.slots,
            .standby = record.standby,
            .standby_ready = record.standby_ready,
            .standby_epoch = record.standby_epoch};
}

map_update map_update_cache::full_map() const {
    map_update update{.from = 0, .to = m_state.version(), .as_of = m_state.version()};
    for (const auto &[number, record] : m_state.targets()) {
        if (record.phase != target_phase::gone) {
            update.targets.push_back(route_of(record));
        }
    }
    for (const auto &[service, ranges] : m_state.ranges()) {
        update.services.push_back({.service = service, .whole = true, .ranges = ranges});
    }
    return update;
}

const map_update &map_update_cache::since(std::uint64_t version) {
    if (m_cache_version != m_state.version() || m_cache.size() >= max_cached_updates) {
        m_cache.clear();
        m_cache_version = m_state.version();
    }
    const auto found = m_cache.find(version);
    return found != m_cache.end() ? found->second
                                  : m_cache.emplace(version, build_since(version)).first->second;
}

std::size_t map_update_cache::records() const {
    std::size_t count = m_state.targets().size();
    for (const auto &[service, ranges] : m_state.ranges()) {
        count += ranges.size();
    }
    return count;
}

bool map_update_cache::sends_whole(std::uint64_t version) const {
    if (!m_encode || version == m_state.version()) {
        return false;
    }
    const auto changes = version == 0 || version > m_state.version()
                             ? std::nullopt
                             : m_state.count_changes_since(version);
    return !changes || *changes > std::max(m_max_items, records() / 2);
}

const map_update_cache::encoded_map &map_update_cache::whole() {
    const auto newer = m_whole.bytes && m_whole.version <= m_state.version()
                           ? m_state.count_changes_since(m_whole.version)
                           : std::nullopt;
    if (!newer || *newer > m_max_items) {
        m_whole = {m_state.version(), std::make_shared<const std::string>(m_encode(full_map()))};
    }
    return m_whole;
}

map_update map_update_cache::build_since(std::uint64_t version) const {
    auto touched = version == 0 ? std::nullopt : m_state.changes_since(version);
    if (!touched || version > m_state.version()) {
        return full_map();
    }
    map_update update{.from = version, .to = m_state.version(), .as_of = m_state.version()};
    if (touched->size() > m_max_items) {
        // Truncated at a version boundary. Records carry their current values, which is harmless:
        // items touched after `to` are sent again. The rest follows with the next renewals, so that
        // after the loss of a failure domain no node takes more than its share of the leader's
        // time.
        update.to = (*touched)[m_max_items].version;
        std::erase_if(*touched,
                      [&](const change_feed_item &item) { return item.version > update.to; });
    }
    std::set<target_number> targets;
    std::map<std::string, std::set<std::uint64_t>> ranges;
    for (const change_feed_item &item : *touched) {
        if (item.service.empty()) {
            targets.insert(item.number);
        } else {
            ranges[item.service].insert(item.first);
        }
    }
    for (const target_number number : targets) {
        if (const target_record *record = m_state.find_target(number)) {
            update.targets.push_back(route_of(*record));
        }
    }
    for (const auto &[service, firsts] : ranges) {
        service_ranges part{.service = service};
        for (const std::uint64_t first : firsts) {
            const range_record *range = m_state.find_range(service, first);
            if (range->first == first) {
                part.ranges.push_back(*range);
            } else {
                part.removed.push_back(first);
            }
        }
        update.services.push_back(std::move(part));
    }
    return update;
}

void map_update_cache::add_own_ranges(map_update &update, const target_record &record) const {
    const auto found = m_state.ranges().find(record.service);
    if (found == m_state.ranges().end()) {
        return;
    }
    auto part =
        std::find_if(update.services.begin(), update.services.end(),
                     [&](const service_ranges &known) { return known.service == record.service; });
    if (part == update.services.end()) {
        part = update.services.insert(part, service_ranges{.service = record.service});
    }
    // Includes the range after each owned one: its first hash marks the end of the owned range, and
    // the node may not know of that split. Otherwise it would treat the rest as its own.
    const std::vector<range_record> &ranges = found->second;
    for (std::size_t i = 0; i < ranges.size(); ++i) {
        const bool after_own = i > 0 && ranges[i - 1].owner == record.number;
        if (ranges[i].owner == record.number || after_own) {
            part->ranges.push_back(ranges[i]);
        }
    }
    update.targets.push_back(route_of(record));
    if (const target_record *standby = m_state.find_target(record.standby)) {
        update.targets.push_back(route_of(*standby));
    }
}

} // namespace peppertack
