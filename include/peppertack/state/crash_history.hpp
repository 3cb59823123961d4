#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <vector>

namespace peppertack {

/// A request that was running when targets crashed, as published to nodes.
struct suspect_request {
    std::uint64_t fingerprint = 0;
    bool quarantined = false; ///< not forwarded to targets

    friend bool operator==(const suspect_request &, const suspect_request &) = default;
};

/// Crash record of one request.
struct suspect_record {
    /// Target incarnations that crashed while running the request.
    std::vector<std::uint64_t> crashed_incarnations;
    std::int64_t seen_ms = 0; ///< wall-clock time of the latest of these crashes
    bool quarantined = false;

    friend bool operator==(const suspect_record &, const suspect_record &) = default;
};

/// Tracks which requests were running when targets crashed, to find the request that causes the
/// crashes (a query of death). All requests that run on a target when it crashes become suspects;
/// only the cause is present at every crash. Part of the replicated state: equal calls give equal
/// histories. Not thread safe.
class crash_history {
public:
    /// Target crashes that quarantine a request if it is the only one running with the highest
    /// count. Two crashes can coincide with an innocent request that was resent to the next target
    /// together with the cause.
    static constexpr std::size_t crashes_to_quarantine = 3;
    /// Target crashes that quarantine a request regardless of the counts of other suspects.
    static constexpr std::size_t crashes_to_quarantine_regardless = 6;
    /// Target crashes from which a request is published to nodes. A request with a single crash is
    /// most likely not the cause.
    static constexpr std::size_t crashes_to_list = 2;

    /// Records that the target incarnation `life` crashed while it ran the requests in `running`.
    /// `wall_ms` affects only the eviction of old records. Returns the newly quarantined requests;
    /// none for an incarnation that is already recorded.
    std::vector<std::uint64_t> record_crash(std::uint64_t life,
                                            const std::vector<std::uint64_t> &running,
                                            std::int64_t wall_ms);
    /// Whether the crash of this incarnation is among the recently recorded ones.
    bool has_recorded(std::uint64_t life) const;
    /// Removes a request from the suspects, because a target completed it or an operator cleared
    /// it. Returns false if it was not a suspect.
    bool remove_suspect(std::uint64_t fingerprint);
    /// Releases a request from quarantine on probation: the next crash under it quarantines it
    /// again. Returns false if the request is not quarantined.
    bool put_on_probation(std::uint64_t fingerprint);

    /// Suspects as published to nodes, ordered by fingerprint.
    std::vector<suspect_request> listed() const;
    const std::map<std::uint64_t, suspect_record> &entries() const { return m_entries; }
    const std::deque<std::uint64_t> &recorded_incarnations() const {
        return m_recorded_incarnations;
    }
    /// Rebuilds the history from a snapshot.
    static crash_history restored(std::map<std::uint64_t, suspect_record> entries,
                                  std::deque<std::uint64_t> crashed_incarnations);

    friend bool operator==(const crash_history &, const crash_history &) = default;

private:
    static std::vector<std::uint64_t>
    quarantine_suspects(const std::map<std::uint64_t, suspect_record *> &suspects);
    void discount_crashes_of(std::uint64_t cause);
    void evict_expired(std::int64_t wall_ms);

    std::map<std::uint64_t, suspect_record> m_entries; ///< by fingerprint
    std::deque<std::uint64_t> m_recorded_incarnations; ///< recorded crashes, oldest first
};

} // namespace peppertack
