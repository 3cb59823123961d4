#pragma once

#include "peppertack/coordination/admission_level.hpp"
#include "peppertack/coordination/target_selector.hpp"
#include "peppertack/state/error_kind.hpp"
#include "peppertack/state/routing_table.hpp"
#include "peppertack/state/time.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace peppertack {

/// Name of the header in which two nodes tell each other about a request that one forwards to the
/// other. It never reaches a caller or a target.
inline constexpr std::string_view hop_header = "Peppertack-Hop";

/// What the node that took a request tells the node beside the chosen target.
struct hop_request {
    target_number target = 0; ///< registration that the sender takes the target for
    std::string service;      ///< that the sender's routes lead the request to
    std::string route;        ///< requests of one route take alike long
    int priority = 0;
    bool repeat = false;      ///< the request may have been at a target before
    bool first_choice = true; ///< no target has rejected the request before
    bool expendable = false;  ///< a nested call that gives way to all else
    double admitted = 1;      ///< share of such requests that the sender saw taken
    std::optional<std::uint32_t> key;
    std::uint64_t fingerprint = 0; ///< of what is asked; equal for repeats under other ids
    duration objective_left{};     ///< until the latency objective
    duration time_left{};          ///< until nobody waits any more

    friend bool operator==(const hop_request &, const hop_request &) = default;
};

/// What that node tells with its answer. `refused` is set if the request was not given to the
/// target; then it has not run and never will. Read back it is never a fault of the caller.
struct hop_reply {
    target_load load;
    error_kind refused = error_kind::none;
    duration retry_after{};    ///< with a refusal: when there will be room
    bool may_have_run = false; ///< the answer is this node's, and the request was with the target
    /// With `may_have_run`: why the target's answer is missing; `draining` if this node stops.
    /// `none` from a node that doesn't tell.
    error_kind failure = error_kind::none;
    /// Given for a nested call: how far requests that make such calls should be admitted.
    std::optional<admission_level> level;

    friend bool operator==(const hop_reply &, const hop_reply &) = default;
};

/// Header values. Thread safe.
std::string encode(const hop_request &value);
std::string encode(const hop_reply &value);
/// Reads what `encode` wrote; nothing for anything else. Thread safe.
std::optional<hop_request> decode_hop_request(std::string_view text);
std::optional<hop_reply> decode_hop_reply(std::string_view text);

} // namespace peppertack
