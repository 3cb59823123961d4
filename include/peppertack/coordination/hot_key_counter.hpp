#pragma once

#include "peppertack/coordination/messages.hpp"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace peppertack {

/// Counts the most frequent keys in bounded memory (space-saving: Metwally, Agrawal and El Abbadi,
/// "Efficient computation of frequent and top-k elements in data streams", 2005). A key with more
/// than 1/capacity of all requests is always among those kept. Not thread safe.
class hot_key_counter {
public:
    /// Counts one request in `sample`; reported counts are scaled up to all.
    explicit hot_key_counter(std::size_t capacity = 128, std::uint32_t sample = 16)
        : m_capacity(capacity), m_sample(sample) {}

    void count(std::uint64_t hash);
    /// The `most` highest counts, highest first, and starts anew.
    std::vector<hot_key> take(std::size_t most);

private:
    std::size_t m_capacity;
    std::uint32_t m_sample;
    std::uint32_t m_passed = 0;
    std::unordered_map<std::uint64_t, std::uint32_t> m_counts;
};

} // namespace peppertack
