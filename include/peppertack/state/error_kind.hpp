#pragma once

#include <cstdint>

namespace peppertack {

/// Reasons for which a request or an operator call fails. protocol/error_answer.hpp maps each kind
/// to its response; a static_assert there checks that the mapping is complete.
enum class error_kind : std::uint8_t {
    none,
    malformed_request,
    unauthorised,
    unknown_service,
    too_large,
    no_owner,
    not_owner,
    moving,
    overloaded,
    deadline_before_target,
    deadline_after_target,
    target_lost,
    target_unreachable,
    owner_unreachable,
    idempotency_key_reused,
    memory_lost,
    version_conflict,
    bad_table,
    not_leader,
    not_found,
    no_route,              ///< no route of the current routing table matches the request
    not_ready,             ///< this process has not received the current configuration
    draining,              ///< the target is stopping and accepts no new requests
    no_target_left,        ///< the service currently has no target
    dependency_overloaded, ///< a service that the target depends on is overloaded
    quarantined,           ///< targets have crashed each time they ran the request
    node_full,             ///< a node on the way holds as many bytes as it may
    cancelled,
};

inline constexpr int error_kind_count = static_cast<int>(error_kind::cancelled) + 1;

/// Whether a request was executed. `not_run` is reported only where that is certain.
enum class outcome : std::uint8_t { ran, not_run, unknown };

} // namespace peppertack
