#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace peppertack {

/// Requests counted for one ordered key.
struct key_load {
    std::uint32_t key = 0;
    std::uint32_t requests = 0;

    friend bool operator==(const key_load &, const key_load &) = default;
};

/// Returns the keys at which to split a range so that no part has more than `max_part_requests`
/// requests. A key that exceeds `max_part_requests` alone gets a part of its own. The result holds
/// the first key of each part but the first, at most `max_points` of them. Splitting into many
/// parts at once handles adjacent keys that become busy within a second; repeated halving needed
/// one move per step, ten seconds in all.
///
/// Preconditions: `loads` is sorted by key; `max_part_requests` is not 0. Thread safe.
std::vector<std::uint32_t> load_split_points(const std::vector<key_load> &loads,
                                             std::uint64_t max_part_requests,
                                             std::size_t max_points);

} // namespace peppertack
