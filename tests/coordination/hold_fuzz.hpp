#pragma once

#include <cstdint>
#include <string>

namespace peppertack::testing {

/// Plays a node that hands keys to its target by calls, with ranges that move away and back, calls
/// that are lost or carried out late, and pauses of the node. Yields what broke one holder for each
/// key, or nothing.
std::string run_hold_sequence(std::uint64_t seed);

} // namespace peppertack::testing
