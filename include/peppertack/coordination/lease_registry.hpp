#pragma once

#include "peppertack/state/records.hpp"
#include "peppertack/state/time.hpp"

#include <optional>
#include <unordered_map>
#include <vector>

namespace peppertack {

/// Lease timing shared by the control layer and the nodes. The node counts a lease of `length` from
/// sending the renewal and shortens it by the drift; the leader counts it from sending the answer
/// and lengthens it by the drift. The node therefore always stops first, as long as no clock's rate
/// is off by more than `drift`.
struct lease_timing {
    duration length = std::chrono::milliseconds(800);
    double drift = 0.01;
    /// Added for a target that does not check fencing tokens: allows for a process that is paused
    /// between its last lease check and its write.
    duration unchecked_wait = std::chrono::milliseconds(300);

    /// Time after sending a renewal during which the node may serve.
    duration node_length() const;
    /// Time after answering a renewal before the leader may reassign the ranges.
    duration leader_wait(bool checks_tokens) const;
};

/// The leader's registry of when each target's lease has certainly ended. Not thread safe.
class lease_registry {
public:
    explicit lease_registry(lease_timing timing) : m_timing(timing) {}

    const lease_timing &timing() const { return m_timing; }
    /// Drops all leases. A new leader has to call `note_renewed` for each registered target.
    void clear() { m_leases.clear(); }
    /// Records that a renewal was, or may have been, answered at `now`.
    void note_renewed(target_number number, bool checks_tokens, instant now);
    /// Stops renewals of the lease, which then expires at its current end.
    void revoke(target_number number);
    bool revoked(target_number number) const;
    void forget(target_number number) { m_leases.erase(number); }
    bool knows(target_number number) const { return m_leases.count(number) != 0; }
    /// Returns targets whose lease has ended and that were not returned before, and revokes their
    /// leases.
    std::vector<target_number> take_ended(instant now);
    std::optional<instant> ends_at(target_number number) const;

private:
    struct lease {
        instant ends{};
        bool revoked = false;
        bool taken = false;
    };

    lease_timing m_timing;
    std::unordered_map<target_number, lease> m_leases;
};

} // namespace peppertack
