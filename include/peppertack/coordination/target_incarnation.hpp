#pragma once

#include "peppertack/state/key_hash.hpp"

#include <compare>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>

namespace peppertack {

/// One life of a target: from a start of its process to that process's end. A target that starts
/// again may keep its name, and knows and holds nothing of before; the time of its start tells it
/// from the one that had the name. Some targets tell no start: they have a new name each time.
struct target_incarnation {
    std::string name;
    std::optional<std::uint64_t> born; ///< milliseconds since the Unix epoch, by its own clock

    friend auto operator<=>(const target_incarnation &, const target_incarnation &) = default;
};

/// Incarnation in a renewal of a node that does not know yet which life its target is in: it goes
/// on with the registration that there is, and never makes one.
inline constexpr std::uint64_t any_incarnation = std::numeric_limits<std::uint64_t>::max();

/// What tells the registrations of two lives apart. A node that is started again finds the
/// registration of a target that was not by this alone.
inline std::uint64_t incarnation_id(const target_incarnation &life) {
    return key_hash(life.born ? life.name + '\n' + std::to_string(*life.born) : life.name);
}

} // namespace peppertack
