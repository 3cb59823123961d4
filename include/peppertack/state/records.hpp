#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace peppertack {

/// Identifies one registration of a target. A target that restarts or whose lease expired gets a
/// new number; numbers are never reused. Zero means none.
using target_number = std::uint32_t;
/// Fencing token: log index of the command that assigned the current owner. Increases with each new
/// owner.
using fencing_token = std::uint64_t;

inline constexpr target_number no_target = 0;

enum class target_phase : std::uint8_t { serving, draining, gone };

/// Registration of a target in the control state.
struct target_record {
    target_number number = no_target;
    std::string name;
    std::string service;
    std::string failure_domain;
    std::string node_address; ///< host:port of the target's node process
    std::uint64_t incarnation = 0;
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
    bool checks_tokens = false;
    target_phase phase = target_phase::serving;
    target_number standby = no_target; ///< keeps a copy of the idempotency records
    bool standby_ready = false;        ///< the copy is complete and usable for recovery
    /// Log index at which the standby was chosen or its copy was invalidated. A report with another
    /// epoch refers to an earlier copy and is void.
    std::uint64_t standby_epoch = 0;

    friend bool operator==(const target_record &, const target_record &) = default;
};

/// Completeness of an owner's idempotency records, compared with all keys that former owners of the
/// range have run.
enum class idempotency_state : std::uint8_t {
    complete, ///< nothing ran elsewhere, or the records were transferred
    fetch,    ///< to be fetched from the lost owner's standby, `recover_from`
    lost,     ///< owner and standby were lost; resends can't be distinguished from first attempts
};

/// One contiguous part of a service's key space, from `first` up to the `first` of the next record.
struct range_record {
    std::uint64_t first = 0;
    target_number owner = no_target;
    fencing_token token = 0;
    target_number next = no_target; ///< destination of a planned move
    idempotency_state memory = idempotency_state::complete;
    target_number recover_from = no_target; ///< target whose node has the standby copy
    target_number recover_of = no_target;   ///< lost owner whose records were copied
    std::int64_t lost_at_ms = 0;            ///< wall-clock time of the loss, if memory == lost
    /// State that the previous owner's target passed to its successor on release; empty if the
    /// range was not acquired by a planned move. The new owner's target starts from it.
    std::string handover;

    friend bool operator==(const range_record &, const range_record &) = default;
};

} // namespace peppertack
