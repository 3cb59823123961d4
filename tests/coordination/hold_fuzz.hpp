#pragma once

#include <cstdint>
#include <string>

namespace peppertack::testing {

/// Simulates a node that grants keys to its target by calls, with ranges that move away and back,
/// calls that are lost or executed late, and pauses of the node. Returns how the rule of one holder
/// per key was violated; empty if it was not.
std::string run_hold_sequence(std::uint64_t seed);

} // namespace peppertack::testing
