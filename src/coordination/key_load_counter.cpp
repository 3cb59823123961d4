#include "peppertack/coordination/key_load_counter.hpp"

#include "peppertack/coordination/load_split_points.hpp"
#include "peppertack/state/key_hash.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace peppertack {

namespace {

constexpr std::size_t max_hot_keys = 8;
/// A range is split into parts of at most 1 / parts_of_capacity of a target's capacity: small
/// enough to fit into the spare capacity of targets, large enough to keep the number of ranges low.
constexpr double parts_of_capacity = 10;
constexpr std::size_t max_split_points = 31; ///< of one range in one report

/// Rounded to nearest: with a few requests in a report, rounding down would halve the rate.
std::uint32_t per_second(std::uint64_t requests, double seconds) {
    return static_cast<std::uint32_t>(std::lround(static_cast<double>(requests) / seconds));
}

} // namespace

void key_load_counter::report(renew_request &request,
                              const std::vector<lease_client::own_range> &ranges, double capacity,
                              double seconds) {
    for (const lease_client::own_range &range : ranges) {
        request.loads.push_back(load_of(range, capacity, seconds));
    }
    request.hot_keys = busiest(seconds);
    clear();
}

range_load key_load_counter::load_of(const lease_client::own_range &range, double capacity,
                                     double seconds) const {
    const auto begin = m_requests.lower_bound(ordered_key_at(range.record.first));
    const auto end = m_requests.upper_bound(ordered_key_at(range.last));
    std::uint64_t total = 0;
    std::vector<key_load> keys;
    for (auto place = begin; place != end; ++place) {
        total += place->second;
        keys.push_back({place->first, place->second});
    }
    range_load load{.first = range.record.first, .requests = per_second(total, seconds)};
    const auto part = static_cast<std::uint64_t>(capacity * seconds / parts_of_capacity) + 1;
    for (const std::uint32_t key : load_split_points(keys, part, max_split_points)) {
        load.split_points.push_back(ordered_key_hash(key));
    }
    return load;
}

std::vector<hot_key> key_load_counter::busiest(double seconds) const {
    std::vector<std::pair<std::uint32_t, std::uint32_t>> by_count; // requests, key
    for (const auto &[key, count] : m_requests) {
        by_count.emplace_back(count, key);
    }
    std::sort(by_count.rbegin(), by_count.rend());
    by_count.resize(std::min(by_count.size(), max_hot_keys));
    std::vector<hot_key> result;
    result.reserve(by_count.size());
    for (const auto &[count, key] : by_count) {
        result.push_back({ordered_key_hash(key), per_second(count, seconds)});
    }
    return result;
}

} // namespace peppertack
