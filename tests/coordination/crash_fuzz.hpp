#pragma once

#include <cstdint>
#include <string>

namespace peppertack::testing {

/// Callers repeat a request that crashes targets, along with popular ones that do not, while
/// targets end for other reasons and leaders are lost. Returns the violation, or an empty string:
/// the request crashed more targets than allowed, or a popular one was quarantined.
std::string run_crash_sequence(std::uint64_t seed);

/// A target crashes under a request at about the time its leader is cut off from the other voters.
/// Returns the violation, or an empty string: the crash has to be recorded once the network has
/// healed.
std::string run_cut_off_leader_sequence(std::uint64_t seed);

} // namespace peppertack::testing
