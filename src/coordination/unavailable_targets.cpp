#include "peppertack/coordination/unavailable_targets.hpp"

#include <algorithm>

namespace peppertack {

void unavailable_targets::record_absent(target_number target, const absence &found,
                                        instant deadline, instant now) {
    const auto [place, fresh] = m_absent.try_emplace(target, record{.deadline = deadline});
    record &known = place->second;
    // A node that stops takes what ends before it does.
    known.deadline = fresh ? deadline : std::min(known.deadline, deadline);
    known.found = found;
    known.probed = now;
}

std::optional<unavailable_targets::absence>
unavailable_targets::absent(target_number target, instant deadline, instant now) {
    const auto found = m_absent.find(target);
    if (found == m_absent.end()) {
        return std::nullopt;
    }
    record &known = found->second;
    if (now >= known.probed + m_options.lifetime) {
        m_absent.erase(found);
        return std::nullopt;
    }
    if (deadline < known.deadline) {
        return std::nullopt;
    }
    if (now >= known.probed + m_options.probe_interval) {
        known.probed = now;
        return std::nullopt;
    }
    return known.found;
}

void unavailable_targets::retain(const std::unordered_map<target_number, target_route> &known) {
    std::erase_if(m_absent, [&](const auto &item) { return known.count(item.first) == 0; });
}

} // namespace peppertack
