#pragma once

#include "peppertack/coordination/messages.hpp"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace peppertack {

/// Counts the most frequent keys in bounded memory (space-saving algorithm: Metwally, Agrawal and
/// El Abbadi, "Efficient computation of frequent and top-k elements in data streams", 2005). A key
/// with more than 1/capacity of the counted requests is always among those kept. Not thread safe.
class hot_key_counter {
public:
    /// Counts every `sample`-th request; reported counts are scaled up accordingly.
    explicit hot_key_counter(std::size_t capacity = 128, std::uint32_t sample = 16)
        : m_capacity(capacity), m_sample(sample) {}

    void count(std::uint64_t hash);
    /// Returns up to `max_keys` of the highest counts in descending order, and resets the counter.
    std::vector<hot_key> take(std::size_t max_keys);

private:
    std::size_t m_capacity;
    std::uint32_t m_sample;
    std::uint32_t m_seen = 0;
    std::unordered_map<std::uint64_t, std::uint32_t> m_counts;
};

} // namespace peppertack
