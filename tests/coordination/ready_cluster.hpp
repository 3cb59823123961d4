#pragma once

#include "simulated_cluster.hpp"

#include <doctest/doctest.h>
#include <memory>

namespace peppertack::testing {

/// Creates a cluster with a table in force and every key served.
inline std::unique_ptr<simulated_cluster>
make_ready_cluster(simulated_cluster::options settings = {}) {
    auto in = std::make_unique<simulated_cluster>(settings);
    in->run(std::chrono::milliseconds(1200));
    REQUIRE(in->leader());
    in->change_table(*in->leader(), 0, "first", 1);
    in->run(std::chrono::seconds(3));
    REQUIRE(in->served_share() == 1.0);
    return in;
}

} // namespace peppertack::testing
