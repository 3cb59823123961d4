#include "fuzz_actions.hpp"

#include <doctest/doctest.h>
#include <iostream>

using namespace peppertack;
using namespace peppertack::testing;

TEST_CASE("any sequence of faults keeps what must always hold") {
    // Seeded through RC_PARAMS or the default below, so that CI gives the same verdict every run.
    std::size_t sequences = 0;
    std::size_t steps = 0;
    std::size_t answered = 0;
    const bool passed = rc::check("oracle finds no violation", [&] {
        const auto seed = *rc::gen::inRange<std::uint64_t>(1, 1'000'000'000);
        const std::vector<action> actions = *any_actions();
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
    CHECK(passed);
}
