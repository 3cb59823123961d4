#pragma once

#include "peppertack/coordination/placement.hpp"

#include <memory>
#include <vector>

namespace peppertack::bench {

/// The ways of placing ranges that were weighed against the one that is shipped; see
/// docs/design/placement.md.

/// Each range belongs to the target with the highest weighted rendezvous score.
std::unique_ptr<placement_strategy> make_consistent_hashing();
/// Every decision places all ranges anew, heaviest first, wherever there is most room.
std::unique_ptr<placement_strategy> make_full_rebalance();
/// Chooses by estimated cost until the next expected fault between giving away only what lost its
/// owner and placing all anew (after Chameleon: Adaptive Fault Tolerance for Distributed Training
/// via Real-time Policy Selection, arXiv).
std::unique_ptr<placement_strategy> make_cost_based(double seconds_to_next_fault);

} // namespace peppertack::bench
