#pragma once

#include "peppertack/coordination/admission.hpp"
#include "peppertack/coordination/idempotency_store.hpp"
#include "peppertack/coordination/lease_registry.hpp"
#include "peppertack/coordination/messages.hpp"
#include "peppertack/coordination/retry_budget.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace peppertack {

struct node_options {
    node_address self;
    std::string failure_domain;
    std::uint64_t incarnation = 1; ///< unique for each start of the process
    std::vector<node_address> voters;
    lease_timing lease;
    duration renew_interval = std::chrono::milliseconds(200);
    duration renew_timeout = std::chrono::milliseconds(150); ///< then the next voter is tried
    duration announce_timeout =
        std::chrono::milliseconds(1200); ///< a target without an announcement for this long is
                                         ///< taken as lost
    /// Identifies registrations by the target's incarnation (`target_announcement::incarnation`)
    /// instead of the node's, so that a restarted node continues the lease of a target that kept
    /// running.
    bool named_registrations = false;
    /// A table may be used to reject requests as invalid for this long after a leader confirmed
    /// that it is the one in force. Half of 2 s, the shortest time within which an accepted change
    /// has to be in force everywhere, so that rejections follow a table that may be in force. Three
    /// renewals fit, so it lapses only where the leader is unreachable.
    duration table_trusted_for = std::chrono::seconds(1);
    duration load_interval = std::chrono::seconds(1);
    duration probe_after = std::chrono::milliseconds(200); ///< a fate query is sent for an answer
                                                           ///< this late
    duration probe_interval = std::chrono::milliseconds(100);
    duration reroute_interval = std::chrono::milliseconds(10);
    duration owner_wait = std::chrono::seconds(3); ///< longest wait for a range to be assigned
    duration standby_timeout = std::chrono::milliseconds(250);
    duration resend_interval = std::chrono::milliseconds(100);
    duration fate_retention = std::chrono::seconds(20); ///< how long the fate of a request can be
                                                        ///< queried
    std::size_t fate_bytes = 32U << 20U;
    idempotency_store::options memory;
    retry_budget::options retries;
    std::uint64_t seed = 1;
};

/// Description of a target in its announcement.
struct target_announcement {
    std::string name;
    std::string service;
    std::uint32_t slots = 1;
    std::uint32_t connections = 1;
    bool checks_tokens = false;
    bool draining = false;
    /// Identifies the run of the target's process, or `any_incarnation`; used with
    /// `named_registrations` only.
    std::uint64_t incarnation = 0;

    friend bool operator==(const target_announcement &, const target_announcement &) = default;
};

/// A request to be written to the local target. The executor checks the clock immediately before
/// the write: at or after `not_after` it must not write, and reports `not_sent`.
struct target_call {
    std::uint64_t call = 0;
    caller_request request;
    fencing_token token = 0;
    instant not_after{};
    instant deadline{};
};

struct call_result {
    enum class kind : std::uint8_t {
        answered, ///< the complete answer was received
        not_sent, ///< no byte was sent to the target
        lost,     ///< something was sent and no complete answer was received
    };
    kind result = kind::not_sent;
    int status = 0;
    std::vector<header_field> headers;
    body_bytes body;
};

struct caller_answer {
    std::uint64_t ticket = 0;
    caller_response response;
};

/// Actions requested by one step, to be carried out by the caller.
struct node_effects {
    std::vector<outgoing> messages;
    std::vector<target_call> calls;
    std::vector<std::uint64_t> cancelled_calls;
    std::vector<caller_answer> answers;
};

/// Counters since the start of the process, for metrics and dumps.
struct node_counters {
    std::uint64_t requests = 0;
    std::uint64_t local = 0;
    std::uint64_t forwarded = 0;
    std::uint64_t retries = 0;
    std::uint64_t probes = 0;
    std::uint64_t shed = 0;
    std::uint64_t resends_answered = 0;
    std::uint64_t leases_renewed = 0;
    std::uint64_t leases_lapsed = 0;
    std::uint64_t ranges_released = 0;
};

} // namespace peppertack
