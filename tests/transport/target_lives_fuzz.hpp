#pragma once

#include <cstdint>
#include <string>

namespace peppertack::testing {

/// Simulates a node and the targets that live one after the other at the address beside it: they
/// crash, leave and come again, messages to and from them come late or reach another process, and
/// the node is killed, frozen or cut off from its leader. Returns how a promise was broken, empty
/// if none was: no process holds keys that have been given to another server, and once the trouble
/// is over the target is registered and holds its keys. With `trace` it tells on standard output
/// what happens.
std::string run_target_lives_sequence(std::uint64_t seed, bool trace = false);

} // namespace peppertack::testing
