#include "peppertack/coordination/lease_registry.hpp"

#include <algorithm>

namespace peppertack {

namespace {

duration scaled(duration value, double factor) {
    return duration(static_cast<duration::rep>(static_cast<double>(value.count()) * factor));
}

} // namespace

duration lease_timing::node_length() const {
    return scaled(length, 1 - drift);
}

duration lease_timing::leader_wait(bool checks_tokens) const {
    return scaled(length, 1 + drift) + (checks_tokens ? duration{} : unchecked_wait);
}

void lease_registry::note_renewed(target_number number, bool checks_tokens, instant now) {
    lease &entry = m_leases[number];
    entry.ends = std::max(entry.ends, now + m_timing.leader_wait(checks_tokens));
}

void lease_registry::revoke(target_number number) {
    m_leases[number].revoked = true;
}

bool lease_registry::revoked(target_number number) const {
    const auto found = m_leases.find(number);
    return found != m_leases.end() && found->second.revoked;
}

std::vector<target_number> lease_registry::take_ended(instant now) {
    std::vector<target_number> ended;
    for (auto &[number, entry] : m_leases) {
        if (!entry.taken && entry.ends <= now) {
            entry.taken = true;
            entry.revoked = true;
            ended.push_back(number);
        }
    }
    std::sort(ended.begin(), ended.end());
    return ended;
}

std::optional<instant> lease_registry::ends_at(target_number number) const {
    const auto found = m_leases.find(number);
    return found == m_leases.end() ? std::nullopt : std::optional(found->second.ends);
}

} // namespace peppertack
