#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace peppertack {

/// Number of one registration of a target. A target that restarts, or whose lease was lost, gets a
/// new number, so a number never comes back to life. Zero means "none".
using target_number = std::uint32_t;
/// Fencing token: the log index of the command that made the current owner. Grows with each owner.
using fencing_token = std::uint64_t;

inline constexpr target_number no_target = 0;

enum class target_phase : std::uint8_t { serving, draining, gone };

/// What the control state knows of one registration of a target.
struct target_record {
    target_number number = no_target;
    std::string name;
    std::string service;
    std::string failure_domain;
    std::string node_address; ///< host:port of the node process beside it
    std::uint64_t incarnation = 0;
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
    bool checks_tokens = false;
    target_phase phase = target_phase::serving;
    target_number standby = no_target; ///< holds a copy of the remembered idempotency keys
    bool standby_ready = false;        ///< the copy is complete: it counts after a loss
    /// Log index at which the standby was chosen or stopped counting. A report that names another
    /// epoch is about an earlier copy and is void.
    std::uint64_t standby_epoch = 0;

    friend bool operator==(const target_record &, const target_record &) = default;
};

/// Whether an owner knows every idempotency key that former owners of the range have run.
enum class idempotency_state : std::uint8_t {
    complete, ///< nothing ran elsewhere, or it was handed over
    fetch,    ///< the standby of the lost owner has it: `recover_from`
    lost,     ///< owner and standby were lost: resends can't be told from first attempts
};

/// One contiguous part of a service's key space: from `first` up to the next record's `first`.
struct range_record {
    std::uint64_t first = 0;
    target_number owner = no_target;
    fencing_token token = 0;
    target_number next = no_target; ///< destination of a planned move
    idempotency_state memory = idempotency_state::complete;
    target_number recover_from = no_target; ///< target whose node holds the standby copy
    target_number recover_of = no_target;   ///< the lost owner the copy is of
    std::int64_t lost_at_ms = 0;            ///< wall time of the loss, for memory == lost
    /// What the last owner's target gave for its successor when it released the range; empty if the
    /// range did not come by a planned move. A target that gets it starts with what the last one
    /// knew.
    std::string handover;

    friend bool operator==(const range_record &, const range_record &) = default;
};

} // namespace peppertack
