#include "cluster_checks.hpp"
#include "local_cluster.hpp"

using namespace peppertack;
using namespace peppertack::testing;
using namespace std::chrono_literals;

// Guards against a cluster that is never served because voters wait for one sync after the other
// before they can elect a leader.
TEST_CASE("a cluster is served from its first start on while each sync takes three seconds") {
    platform_cluster cluster(
        {.programs = PEPPERTACK_PROGRAMS, .environment = slow_syncs(PEPPERTACK_PROGRAMS, 3s, 3s)});
    bring_up(cluster);
    check_all(cluster);
}
