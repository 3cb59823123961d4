#include "peppertack/coordination/hot_key_counter.hpp"

#include <algorithm>

namespace peppertack {

void hot_key_counter::count(std::uint64_t hash) {
    if (++m_seen % m_sample != 0) {
        return;
    }
    const auto found = m_counts.find(hash);
    if (found != m_counts.end()) {
        ++found->second;
        return;
    }
    if (m_counts.size() < m_capacity) {
        m_counts[hash] = 1;
        return;
    }
    const auto least =
        std::min_element(m_counts.begin(), m_counts.end(),
                         [](const auto &a, const auto &b) { return a.second < b.second; });
    const std::uint32_t inherited = least->second;
    m_counts.erase(least);
    m_counts[hash] = inherited + 1;
}

std::vector<hot_key> hot_key_counter::take(std::size_t max_keys) {
    std::vector<hot_key> result;
    for (const auto &[hash, count] : m_counts) {
        result.push_back({hash, count * m_sample});
    }
    std::sort(result.begin(), result.end(), [](const hot_key &a, const hot_key &b) {
        return a.requests != b.requests ? a.requests > b.requests : a.hash < b.hash;
    });
    result.resize(std::min(result.size(), max_keys));
    m_counts.clear();
    return result;
}

} // namespace peppertack
