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

/// Where to cut a range so that no part has much more than `part` requests, but for a key that has
/// more by itself: that one gets a part of its own. Yields the first key of each part but the
/// first, at most `most` of them. It answers a neighbourhood of keys that becomes busy within a
/// second: halving it again and again took a move for each halving, ten seconds in all.
///
/// Preconditions: `loads` is sorted by key; `part` is not 0. Thread safe.
std::vector<std::uint32_t> load_cuts(const std::vector<key_load> &loads, std::uint64_t part,
                                     std::size_t most);

} // namespace peppertack
