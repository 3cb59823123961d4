#include "peppertack/coordination/lease_client.hpp"

#include <doctest/doctest.h>

using namespace peppertack;
using namespace std::chrono_literals;

TEST_CASE("a node that found the leader by its address follows the list of voters") {
    // Symptom: nodes went on asking seeds that they were cut from, while a leader they could reach
    // was at work. Sequence: a node asked a seed by its bare address; the answer listed all voters
    // by their identities. Cause: the seed's address is not found in that list, so the list is
    // passed over.
    node_options options;
    options.self = "n:1";
    options.voters = {"a:1"};
    lease_client lease(options);
    std::vector<outgoing> sent;
    lease.tick(
        {instant(1000s), 0}, [](renew_request &, instant) {}, sent);
    lease.receive("a:1",
                  renew_reply{.sequence = 1,
                              .is_leader = true,
                              .voters = {"a:1#founder", "b:1#founder", "c:1#7"}},
                  {instant(1000s), 0});
    CHECK(lease.voters().size() == 3);
}
