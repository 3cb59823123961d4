#pragma once

#include "peppertack/state/key_hash.hpp"

#include <compare>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>

namespace peppertack {

/// One run of a target's process, from its start to its end. A restarted target may keep its name
/// but none of its state; its start time distinguishes the runs. Targets that report no start time
/// use a new name for each run.
struct target_incarnation {
    std::string name;
    std::optional<std::uint64_t> born; ///< start time of the process, in ms since the Unix epoch by
                                       ///< its own clock

    friend auto operator<=>(const target_incarnation &, const target_incarnation &) = default;
};

/// Incarnation in the renewal of a node that does not know its target's incarnation yet: it
/// continues an existing registration and never creates one.
inline constexpr std::uint64_t any_incarnation = std::numeric_limits<std::uint64_t>::max();

/// Identifier that distinguishes the registrations of two incarnations. A restarted node finds the
/// registration of a target that kept running by this alone.
inline std::uint64_t incarnation_id(const target_incarnation &incarnation) {
    return key_hash(incarnation.born ? incarnation.name + '\n' + std::to_string(*incarnation.born)
                                     : incarnation.name);
}

} // namespace peppertack
