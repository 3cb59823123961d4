#include "peppertack/state/crash_history.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace peppertack {

namespace {

/// A request that crashes targets less often than this does little harm.
constexpr std::int64_t suspect_retention_ms = 600'000;
/// At 18 requests per target, covers some hundred targets that crash together.
constexpr std::size_t max_entries = 4096;
/// Bounds the detection of duplicate reports, which are resent until acknowledged, for seconds at
/// most.
constexpr std::size_t max_recorded_incarnations = 1024;

} // namespace

std::vector<std::uint64_t> crash_history::record_crash(std::uint64_t life,
                                                       const std::vector<std::uint64_t> &running,
                                                       std::int64_t wall_ms) {
    if (has_recorded(life)) {
        return {};
    }
    m_recorded_incarnations.push_back(life);
    if (m_recorded_incarnations.size() > max_recorded_incarnations) {
        m_recorded_incarnations.pop_front();
    }
    evict_expired(wall_ms);
    const bool explained =
        std::any_of(running.begin(), running.end(), [&](std::uint64_t fingerprint) {
            const auto found = m_entries.find(fingerprint);
            return found != m_entries.end() && found->second.quarantined;
        });
    if (explained) {
        return {};
    }
    std::map<std::uint64_t, suspect_record *> suspects;
    for (const std::uint64_t fingerprint : running) {
        suspect_record &suspect = m_entries[fingerprint];
        if (suspects.emplace(fingerprint, &suspect).second) {
            suspect.crashed_incarnations.push_back(life);
            suspect.seen_ms = wall_ms;
        }
    }
    std::vector<std::uint64_t> quarantined = quarantine_suspects(suspects);
    for (const std::uint64_t fingerprint : quarantined) {
        discount_crashes_of(fingerprint);
    }
    return quarantined;
}

/// Discounts the crashes attributed to `cause` from all other suspects: these requests are no more
/// suspect than any other.
void crash_history::discount_crashes_of(std::uint64_t cause) {
    const std::vector<std::uint64_t> explained = m_entries.at(cause).crashed_incarnations;
    for (auto &[fingerprint, other] : m_entries) {
        if (!other.quarantined) {
            std::erase_if(other.crashed_incarnations, [&](std::uint64_t life) {
                return std::find(explained.begin(), explained.end(), life) != explained.end();
            });
        }
    }
    std::erase_if(m_entries,
                  [](const auto &item) { return item.second.crashed_incarnations.empty(); });
}

/// The cause was running at each crash, so no other request can have a higher count.
std::vector<std::uint64_t>
crash_history::quarantine_suspects(const std::map<std::uint64_t, suspect_record *> &suspects) {
    std::size_t most = 0;
    for (const auto &[fingerprint, suspect] : suspects) {
        most = std::max(most, suspect->crashed_incarnations.size());
    }
    const auto leading = std::count_if(suspects.begin(), suspects.end(), [&](const auto &item) {
        return item.second->crashed_incarnations.size() == most;
    });
    std::vector<std::uint64_t> quarantined;
    for (const auto &[fingerprint, suspect] : suspects) {
        const std::size_t ends = suspect->crashed_incarnations.size();
        const bool stands_out = ends == most && leading == 1 && ends >= crashes_to_quarantine;
        if (stands_out || ends >= crashes_to_quarantine_regardless) {
            suspect->quarantined = true;
            quarantined.push_back(fingerprint);
        }
    }
    return quarantined;
}

bool crash_history::has_recorded(std::uint64_t life) const {
    return std::find(m_recorded_incarnations.begin(), m_recorded_incarnations.end(), life) !=
           m_recorded_incarnations.end();
}

bool crash_history::remove_suspect(std::uint64_t fingerprint) {
    return m_entries.erase(fingerprint) != 0;
}

bool crash_history::put_on_probation(std::uint64_t fingerprint) {
    const auto found = m_entries.find(fingerprint);
    if (found == m_entries.end() || !found->second.quarantined) {
        return false;
    }
    found->second.quarantined = false;
    found->second.crashed_incarnations.resize(crashes_to_quarantine - 1);
    return true;
}

std::vector<suspect_request> crash_history::listed() const {
    std::vector<suspect_request> result;
    for (const auto &[fingerprint, suspect] : m_entries) {
        if (suspect.crashed_incarnations.size() >= crashes_to_list) {
            result.push_back({fingerprint, suspect.quarantined});
        }
    }
    return result;
}

crash_history crash_history::restored(std::map<std::uint64_t, suspect_record> entries,
                                      std::deque<std::uint64_t> crashed_incarnations) {
    crash_history ledger;
    ledger.m_entries = std::move(entries);
    ledger.m_recorded_incarnations = std::move(crashed_incarnations);
    return ledger;
}

/// Quarantines do not expire here: they end when an operator clears the request, a target completes
/// it, or the leader ends the quarantine by its clock.
void crash_history::evict_expired(std::int64_t wall_ms) {
    std::erase_if(m_entries, [&](const auto &item) {
        return !item.second.quarantined && item.second.seen_ms + suspect_retention_ms < wall_ms;
    });
    while (m_entries.size() >= max_entries) {
        const auto rank = [](const auto &item) {
            return std::tuple(item.second.quarantined, item.second.crashed_incarnations.size(),
                              item.second.seen_ms);
        };
        m_entries.erase(
            std::min_element(m_entries.begin(), m_entries.end(),
                             [&](const auto &a, const auto &b) { return rank(a) < rank(b); }));
    }
}

} // namespace peppertack
