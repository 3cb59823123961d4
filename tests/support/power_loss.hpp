#pragma once

#include <cstdint>
#include <string>

namespace peppertack::testing {

/// Leaves in a data folder what a loss of power would: of each file what its last sync covered, of
/// each later write all, nothing or a part, and of names that were created, renamed or removed
/// since the last sync of the folder each or not; drawn by `seed`. At a third of the losses all
/// that was not synced is gone. Precondition: the process whose disk tests/support/lossy_disk.cpp
/// watched has ended. Writes only behind the end of a file, and cuts only what was not synced.
void lose_power(const std::string &folder, std::uint64_t seed);

} // namespace peppertack::testing
