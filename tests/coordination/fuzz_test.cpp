#include "fuzz_actions.hpp"

#include <doctest/doctest.h>
#include <iostream>

using namespace peppertack;
using namespace peppertack::testing;

namespace {

/// Seeded through RC_PARAMS, so that CI runs are reproducible.
bool check_sequences(const std::string &name, const rc::Gen<std::vector<action>> &generator) {
    std::size_t sequences = 0;
    std::size_t steps = 0;
    std::size_t answered = 0;
    const bool passed = rc::check(name, [&] {
        const auto seed = *rc::gen::inRange<std::uint64_t>(1, 1'000'000'000);
        const std::vector<action> actions = *generator;
        const sequence_result result = run_sequence(seed, actions);
        ++sequences;
        steps += result.steps;
        answered += result.answered;
        for (const std::string &violation : result.violations) {
            RC_LOG() << violation << "\n";
        }
        RC_ASSERT(result.violations.empty());
    });
    std::cout << "fuzz: " << sequences << " sequences, " << steps << " steps, " << answered
              << " requests answered\n";
    return passed;
}

} // namespace

TEST_CASE("any sequence of faults keeps what must always hold") {
    CHECK(check_sequences("oracle finds no violation", any_actions()));
}

TEST_CASE("any sequence of slow disks and lost voters keeps what must always hold") {
    CHECK(check_sequences("oracle finds no violation of writing behind", disk_actions()));
}

TEST_CASE("any sequence of evacuations and lost voters keeps what must always hold") {
    CHECK(check_sequences("oracle finds no violation of evacuations", evacuation_actions()));
}
