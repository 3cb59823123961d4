#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <vector>

namespace peppertack {

/// A request that was running when targets ended, as far as nodes have to know of it.
struct suspect_request {
    std::uint64_t fingerprint = 0;
    bool quarantined = false; ///< no target is given it any more

    friend bool operator==(const suspect_request &, const suspect_request &) = default;
};

/// What is known of a request that was running when targets ended.
struct suspect_record {
    std::vector<std::uint64_t> crashed_incarnations; ///< incarnations that ended while they ran it
    std::int64_t seen_ms = 0;                        ///< wall clock at the last of these
    bool quarantined = false;

    friend bool operator==(const suspect_record &, const suspect_record &) = default;
};

/// Which requests were running when targets ended. All that ran beside the cause of one end are
/// under suspicion with it; only the cause is there each time (a query of death). Part of the
/// replicated state: the same calls give equal ledgers. Not thread safe.
class crash_history {
public:
    /// Lives of targets that have to end under a request until it is quarantined, if no other that
    /// ran beside it has seen as many. Two are met by bystanders that were sent to the next target
    /// along with the cause.
    static constexpr std::size_t crashes_to_quarantine = 3;
    /// So many ends quarantine each request that was there, whatever ran beside it.
    static constexpr std::size_t crashes_to_quarantine_regardless = 6;
    /// From so many ends on nodes know of a request. With one end it is mostly a bystander.
    static constexpr std::size_t crashes_to_list = 2;

    /// Records that the life of a target ended while it ran these requests. `wall_ms` only decides
    /// what is forgotten. Yields what is quarantined by this; nothing new for a life that is known.
    std::vector<std::uint64_t> record_crash(std::uint64_t life,
                                            const std::vector<std::uint64_t> &running,
                                            std::int64_t wall_ms);
    /// Whether the end of this life was recorded a short while ago.
    bool has_recorded(std::uint64_t life) const;
    /// A target has run the request to its end, or an operator vouches for it. False if it is not
    /// under suspicion.
    bool remove_suspect(std::uint64_t fingerprint);
    /// Ends a quarantine on probation: the next end under the request brings it back. False if the
    /// request is not quarantined.
    bool put_on_probation(std::uint64_t fingerprint);

    /// What nodes are told, in order of fingerprints.
    std::vector<suspect_request> listed() const;
    const std::map<std::uint64_t, suspect_record> &entries() const { return m_entries; }
    const std::deque<std::uint64_t> &recorded_incarnations() const {
        return m_recorded_incarnations;
    }
    /// For snapshots.
    static crash_history restored(std::map<std::uint64_t, suspect_record> entries,
                                  std::deque<std::uint64_t> crashed_incarnations);

    friend bool operator==(const crash_history &, const crash_history &) = default;

private:
    static std::vector<std::uint64_t>
    quarantine_suspects(const std::map<std::uint64_t, suspect_record *> &suspects);
    void discount_crashes_of(std::uint64_t cause);
    void evict_expired(std::int64_t wall_ms);

    std::map<std::uint64_t, suspect_record> m_entries; ///< by fingerprint
    std::deque<std::uint64_t> m_recorded_incarnations; ///< recorded ends, the latest is the last
};

} // namespace peppertack
