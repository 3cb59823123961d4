#pragma once

#include "platform_cluster.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <memory>
#include <string>
#include <vector>

namespace peppertack::testing {

/// Fails for each request that was answered untruly, and for all else that the cluster has noticed.
inline void check_all(platform_cluster &cluster) {
    cluster.check_requests();
    for (const std::string &what : cluster.violations()) {
        FAIL_CHECK(what);
    }
}

/// Puts the first configuration into force and waits until requests of each kind are served.
inline void bring_up(platform_cluster &cluster) {
    REQUIRE(cluster.configure(1, 0));
    REQUIRE(cluster.serves());
}

/// Waits until each attempt has an answer, and checks that it is the target's.
inline void check_all_served(platform_cluster &cluster,
                             const std::vector<std::shared_ptr<caller_attempt>> &sent) {
    REQUIRE(cluster.run_until([&] {
        return std::all_of(sent.begin(), sent.end(),
                           [](const auto &attempt) { return attempt->status != 0; });
    }));
    for (const auto &attempt : sent) {
        CHECK(attempt->status == 200);
    }
}

} // namespace peppertack::testing
