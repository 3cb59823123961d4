#include "peppertack/coordination/suspect_list.hpp"

#include "peppertack/coordination/planted_defects.hpp"

#include <algorithm>

namespace peppertack {

void suspect_list::replace(std::uint64_t version, const std::vector<suspect_request> &all) {
    m_version = version;
    m_all.clear();
    for (const suspect_request &item : all) {
        m_all[item.fingerprint] = item.quarantined;
    }
}

bool suspect_list::is_quarantined(std::uint64_t fingerprint) const {
    const auto found = m_all.find(fingerprint);
    return found != m_all.end() && found->second && !g_defects.ignore_suspects;
}

std::size_t suspect_list::quarantined() const {
    return static_cast<std::size_t>(
        std::count_if(m_all.begin(), m_all.end(), [](const auto &item) { return item.second; }));
}

} // namespace peppertack
