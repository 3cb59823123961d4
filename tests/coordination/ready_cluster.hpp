#pragma once

#include "simulated_cluster.hpp"

#include <doctest/doctest.h>
#include <memory>

namespace peppertack::testing {

/// Creates a cluster with a table in force and every key served.
inline std::unique_ptr<simulated_cluster>
make_ready_cluster(simulated_cluster::options settings = {}) {
    auto cluster = std::make_unique<simulated_cluster>(settings);
    cluster->run(std::chrono::milliseconds(1200));
    REQUIRE(cluster->leader());
    cluster->change_table(*cluster->leader(), 0, "first", 1);
    cluster->run(std::chrono::seconds(3));
    REQUIRE(cluster->served_fraction() == 1.0);
    return cluster;
}

} // namespace peppertack::testing
