#include "peppertack/coordination/routing_history.hpp"

#include "peppertack/state/text_compression.hpp"

#include <algorithm>

namespace peppertack {

namespace {

/// Changes that a node may miss before it is sent the full routing table: more than occur within
/// the one or two seconds in which a node regains contact.
constexpr std::size_t max_deltas = 32;
constexpr std::size_t max_cached_deltas = 32;

} // namespace

void routing_history::record(const std::string &delta) {
    std::string reason;
    std::optional<routing_delta> read = decode_delta(delta, reason);
    const bool follows = read && !m_deltas.empty() && m_deltas.back().version == read->base_version;
    if (!follows) {
        m_deltas.clear();
    }
    if (!read || read->base_version == 0) {
        return; // a full routing table, which nodes receive as such
    }
    m_deltas.push_back(without_sources(std::move(*read)));
    if (m_deltas.size() > max_deltas) {
        m_deltas.pop_front();
    }
}

const std::string &routing_history::compressed_since(std::uint64_t version,
                                                     const routing_table &current) {
    if (m_compressed_version != current.version || m_compressed.size() >= max_cached_deltas) {
        m_compressed.clear();
        m_compressed_version = current.version;
    }
    const auto found = m_compressed.find(version);
    return found != m_compressed.end()
               ? found->second
               : m_compressed.emplace(version, compress_text(encode(delta_since(version, current))))
                     .first->second;
}

routing_delta routing_history::delta_since(std::uint64_t version,
                                           const routing_table &current) const {
    auto place =
        std::find_if(m_deltas.begin(), m_deltas.end(),
                     [version](const routing_delta &item) { return item.base_version == version; });
    if (version == 0 || place == m_deltas.end() || m_deltas.back().version != current.version) {
        return without_sources(difference({}, current));
    }
    routing_delta result = *place;
    while (++place != m_deltas.end()) {
        result = join(result, *place);
    }
    return result;
}

} // namespace peppertack
