#pragma once

#include "peppertack/state/records.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace peppertack {

/// Commands of the replicated state machine. Each carries its actor and cause, which are recorded
/// in the audit chain. Preconditions are checked again when a command is applied, as the state may
/// have changed since it was proposed.

/// Compare-and-set of the operators' table. `change_id` makes resends idempotent.
struct change_table {
    std::string change_id;
    std::uint64_t base_version = 0;
    std::string csv;

    friend bool operator==(const change_table &, const change_table &) = default;
};

/// Compare-and-set of the routing table. `delta` is an encoded `routing_delta`, which carries the
/// operator-assigned version of the result. `change_id` makes resends of an accepted change
/// idempotent.
struct change_routes {
    std::string change_id;
    std::uint64_t base_version = 0;
    std::string delta;

    friend bool operator==(const change_routes &, const change_routes &) = default;
};

/// Registers a target. `record.number` is assigned when the command is applied.
struct register_target {
    target_record record;

    friend bool operator==(const register_target &, const register_target &) = default;
};

/// Expires leases of targets without a hand-over; their ranges lose their owner. Batched, since the
/// loss of a failure domain expires hundreds of leases at once.
struct expire_targets {
    std::vector<target_number> numbers;

    friend bool operator==(const expire_targets &, const expire_targets &) = default;
};

/// Starts a planned stop: the target keeps its ranges until each has been handed over.
struct drain_target {
    target_number number = no_target;

    friend bool operator==(const drain_target &, const drain_target &) = default;
};

/// Ends the registration of a drained target that owns no ranges.
struct retire_target {
    target_number number = no_target;

    friend bool operator==(const retire_target &, const retire_target &) = default;
};

struct range_choice {
    std::uint64_t first = 0;
    target_number to = no_target;

    friend bool operator==(const range_choice &, const range_choice &) = default;
};

/// Assigns ranges without an owner to targets.
struct grant_ranges {
    std::string service;
    std::vector<range_choice> choices;

    friend bool operator==(const grant_ranges &, const grant_ranges &) = default;
};

/// Starts planned moves. The owner changes only when `release_range` is applied.
struct plan_moves {
    std::string service;
    std::vector<range_choice> choices;

    friend bool operator==(const plan_moves &, const plan_moves &) = default;
};

/// The owner has finished all requests on a range, transferred its idempotency records and released
/// the range.
struct release_range {
    std::string service;
    std::uint64_t first = 0;
    fencing_token token = 0;
    /// Target that received the idempotency records. The release is void if this is not the range's
    /// current destination; the owner resumes serving when it learns that the move was cancelled.
    target_number to = no_target;
    std::string handover; ///< opaque state passed from the owner's target to the next owner's

    friend bool operator==(const release_range &, const release_range &) = default;
};

/// Splits the range that contains `at` in two, both with the same owner and token.
struct split_range {
    std::string service;
    std::uint64_t at = 0;

    friend bool operator==(const split_range &, const split_range &) = default;
};

/// Merges the range that begins at `first` into the preceding one if they differ only in their
/// bounds.
struct merge_range {
    std::string service;
    std::uint64_t first = 0;

    friend bool operator==(const merge_range &, const merge_range &) = default;
};

/// Sets which target keeps the standby copy of a target's idempotency records, and whether that
/// copy is complete.
struct set_standby {
    target_number number = no_target;
    target_number standby = no_target;
    bool ready = false;
    std::uint64_t epoch = 0; ///< with `ready`: standby epoch in which the copy was completed

    friend bool operator==(const set_standby &, const set_standby &) = default;
};

/// The owner has all idempotency records of the range again: it restored them from the standby
/// copy, or the retention period has passed since they were lost.
struct restore_memory {
    std::string service;
    std::uint64_t first = 0;
    fencing_token token = 0;
    /// State on which the report is based. A report of an owner that has been lost since is void
    /// although the token is unchanged, because the restored records were lost with that owner.
    target_number owner = no_target;
    idempotency_state was = idempotency_state::complete;

    friend bool operator==(const restore_memory &, const restore_memory &) = default;
};

/// A target crashed while it ran the requests with these fingerprints.
struct report_crash {
    std::string target;
    std::uint64_t life = 0; ///< incarnation of the target's registration
    std::vector<std::uint64_t> running;

    friend bool operator==(const report_crash &, const report_crash &) = default;
};

/// Clears suspect or quarantined requests. With `probation`, the next target crash under such a
/// request quarantines it again; otherwise all records of the request are removed.
struct clear_suspects {
    std::vector<std::uint64_t> fingerprints;
    bool probation = false;

    friend bool operator==(const clear_suspects &, const clear_suspects &) = default;
};

/// Evacuates a failure domain, so that its targets get no requests and no ranges, or withdraws
/// that.
struct evacuate_domain {
    std::string domain;
    bool withdrawn = false;

    friend bool operator==(const evacuate_domain &, const evacuate_domain &) = default;
};

using command_body =
    std::variant<change_table, register_target, expire_targets, drain_target, retire_target,
                 grant_ranges, plan_moves, release_range, split_range, merge_range, set_standby,
                 restore_memory, change_routes, report_crash, clear_suspects, evacuate_domain>;

struct command {
    std::int64_t wall_ms = 0; ///< leader's wall clock at proposal, recorded for auditing only
    std::string actor;        ///< operator name, or the component that proposed the command
    std::string cause;
    command_body body;

    friend bool operator==(const command &, const command &) = default;
};

/// Encodes a command as one line of JSON with a format version. See docs/design/log-format.md.
std::string encode(const command &value);

/// Decodes the output of `encode`. Returns nullopt and sets `reason` for any other input. Thread
/// safe.
std::optional<command> decode_command(std::string_view text, std::string &reason);

/// Stable short name of the command kind, as used in audit records and logs.
const char *kind_name(const command_body &body);

} // namespace peppertack
