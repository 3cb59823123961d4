#pragma once

#include "peppertack/state/records.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace peppertack {

/// A replicated decision. Every command names its actor and cause, because each becomes an audit
/// record. Commands are checked again when applied: the state may have moved since the proposal.

/// Compare-and-set of the operators' table. `change_id` makes a resend idempotent.
struct change_table {
    std::string change_id;
    std::uint64_t base_version = 0;
    std::string csv;

    friend bool operator==(const change_table &, const change_table &) = default;
};

/// Compare-and-set of the routing table. `delta` is a `routing_delta` as `encode` wrote it, with
/// the version that the operator chose for the result. `change_id` makes a resend of an accepted
/// change idempotent.
struct change_routes {
    std::string change_id;
    std::uint64_t base_version = 0;
    std::string delta;

    friend bool operator==(const change_routes &, const change_routes &) = default;
};

/// A target announced itself; `record.number` is chosen when the command is applied.
struct register_target {
    target_record record;

    friend bool operator==(const register_target &, const register_target &) = default;
};

/// Leases of targets ended without a hand-over. Their ranges lose their owner. One decision for all
/// that end at a moment: a failure domain takes hundreds at once.
struct expire_targets {
    std::vector<target_number> numbers;

    friend bool operator==(const expire_targets &, const expire_targets &) = default;
};

/// A planned stop: the target keeps its ranges until each has been handed over.
struct drain_target {
    target_number number = no_target;

    friend bool operator==(const drain_target &, const drain_target &) = default;
};

/// A drained target that owns nothing any more has stopped.
struct retire_target {
    target_number number = no_target;

    friend bool operator==(const retire_target &, const retire_target &) = default;
};

struct range_choice {
    std::uint64_t first = 0;
    target_number to = no_target;

    friend bool operator==(const range_choice &, const range_choice &) = default;
};

/// Gives ranges that have no owner to targets.
struct grant_ranges {
    std::string service;
    std::vector<range_choice> choices;

    friend bool operator==(const grant_ranges &, const grant_ranges &) = default;
};

/// Starts planned moves; the owner changes only with `release_range`.
struct plan_moves {
    std::string service;
    std::vector<range_choice> choices;

    friend bool operator==(const plan_moves &, const plan_moves &) = default;
};

/// The owner finished its work on a range, handed its remembered keys over and gave it up.
struct release_range {
    std::string service;
    std::uint64_t first = 0;
    fencing_token token = 0;
    /// Destination the keys were handed to. If it is not the one in force the release is void: the
    /// owner goes on serving once it learns that the move was called off.
    target_number to = no_target;
    std::string handover; ///< from the owner's target, for the next owner's

    friend bool operator==(const release_range &, const release_range &) = default;
};

/// Cuts the range that holds `at` in two, both with the same owner and token.
struct split_range {
    std::string service;
    std::uint64_t at = 0;

    friend bool operator==(const split_range &, const split_range &) = default;
};

/// Joins the range that begins at `first` to the one before it, if nothing but the bound differs.
struct merge_range {
    std::string service;
    std::uint64_t first = 0;

    friend bool operator==(const merge_range &, const merge_range &) = default;
};

/// Chooses who keeps a copy of a target's remembered keys, and whether that copy counts.
struct set_standby {
    target_number number = no_target;
    target_number standby = no_target;
    bool ready = false;
    std::uint64_t epoch = 0; ///< for `ready`: the epoch in which the copy was completed

    friend bool operator==(const set_standby &, const set_standby &) = default;
};

/// The owner has every remembered key of the range again: it restored them from the standby copy,
/// or their retention has passed since they were lost.
struct restore_memory {
    std::string service;
    std::uint64_t first = 0;
    fencing_token token = 0;
    /// What the decision was made on. A report of an owner that was lost meanwhile is void, though
    /// the token is still the same: what it had restored went with it.
    target_number owner = no_target;
    idempotency_state was = idempotency_state::complete;

    friend bool operator==(const restore_memory &, const restore_memory &) = default;
};

/// The life of a target ended while it ran these requests, by their fingerprints.
struct report_crash {
    std::string target;
    std::uint64_t life = 0; ///< incarnation of its registration
    std::vector<std::uint64_t> running;

    friend bool operator==(const report_crash &, const report_crash &) = default;
};

/// Ends the suspicion, or the quarantine, of requests. On probation the next end of a target under
/// such a request quarantines it again; otherwise all that was recorded of it is forgotten.
struct clear_suspects {
    std::vector<std::uint64_t> fingerprints;
    bool probation = false;

    friend bool operator==(const clear_suspects &, const clear_suspects &) = default;
};

using command_body =
    std::variant<change_table, register_target, expire_targets, drain_target, retire_target,
                 grant_ranges, plan_moves, release_range, split_range, merge_range, set_standby,
                 restore_memory, change_routes, report_crash, clear_suspects>;

struct command {
    std::int64_t wall_ms = 0; ///< leader's wall clock at the proposal, for auditors
    std::string actor;        ///< operator's name, or the deciding part of the system
    std::string cause;
    command_body body;

    friend bool operator==(const command &, const command &) = default;
};

/// JSON text of a command, one line, with a version field. See docs/design/log-format.md.
std::string encode(const command &value);

/// Reads what `encode` wrote. Yields nothing, with the reason, for anything else. Thread safe.
std::optional<command> decode_command(std::string_view text, std::string &reason);

/// Short stable name of the kind of command, as used in audit records and logs.
const char *kind_name(const command_body &body);

} // namespace peppertack
