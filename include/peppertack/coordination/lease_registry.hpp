#pragma once

#include "peppertack/state/records.hpp"
#include "peppertack/state/time.hpp"

#include <optional>
#include <unordered_map>
#include <vector>

namespace peppertack {

/// Lease timing shared by the control part and the nodes. A lease of `length` runs, for the node,
/// from when it sent the renewal and is shortened by the drift; for the leader it runs from when
/// the answer leaves and is lengthened by it. So the node always stops first while no clock runs
/// faster or slower than `drift` allows.
struct lease_timing {
    duration length = std::chrono::milliseconds(800);
    double drift = 0.01;
    /// Added for a target that does not check fencing tokens: time for a process paused between its
    /// last look at the clock and its write to be noticed by nobody else.
    duration unchecked_wait = std::chrono::milliseconds(300);

    /// How long after sending a renewal the node may serve.
    duration node_length() const;
    /// How long after answering a renewal the leader waits before it gives ranges to another.
    duration leader_wait(bool checks_tokens) const;
};

/// The leader's record of when each target's lease has surely ended. Not thread safe.
class lease_registry {
public:
    explicit lease_registry(lease_timing timing) : m_timing(timing) {}

    const lease_timing &timing() const { return m_timing; }
    /// Forgets everything: the next leader starts from `assume_renewed` for each live target.
    void clear() { m_leases.clear(); }
    /// A renewal was, or may have been, answered at `now`.
    void note_renewed(target_number number, bool checks_tokens, instant now);
    /// No renewal will be answered any more; the lease ends when it ends.
    void revoke(target_number number);
    bool revoked(target_number number) const;
    void forget(target_number number) { m_leases.erase(number); }
    bool knows(target_number number) const { return m_leases.count(number) != 0; }
    /// Targets whose lease has ended and that were not yielded before; they are revoked by this.
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
