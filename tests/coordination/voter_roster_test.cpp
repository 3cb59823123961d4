#include "peppertack/coordination/voter_roster.hpp"

#include <doctest/doctest.h>

using namespace peppertack;
using namespace std::chrono_literals;

namespace {

constexpr instant start(1000s);

membership five() {
    return {.voters = {"a:1#founder", "b:1#founder", "c:1#founder", "d:1#4", "e:1#5"}};
}

duration no_contact_lost(const node_address &) {
    return {};
}

using change = voter_roster::change;

} // namespace

TEST_CASE("spares are added until there are enough voters") {
    voter_roster roster({.desired_voters = 5}, start);
    const membership three{.voters = {"a:1#founder", "b:1#founder", "c:1#founder"}};
    CHECK_FALSE(roster.next_change(three, "a:1#founder", no_contact_lost, start));
    roster.record({"d:1#4"}, start);
    CHECK(roster.next_change(three, "a:1#founder", no_contact_lost, start) == change{"d:1#4", {}});
    membership changing = three;
    changing.learner = "d:1#4";
    CHECK_FALSE(roster.next_change(changing, "a:1#founder", no_contact_lost, start));
    CHECK_FALSE(roster.next_change(five(), "a:1#founder", no_contact_lost, start));
    // An offer that is not repeated expires.
    CHECK_FALSE(roster.next_change(three, "a:1#founder", no_contact_lost, start + 5s));
}

TEST_CASE("a voter that restarts with an empty disk replaces its old identity") {
    // Guards against the loss of an acknowledged change. Three of five voters stored it, two of
    // these restarted with empty disks under their old identities, and together with the two voters
    // that never had it they elected a leader without it.
    voter_roster roster({.desired_voters = 5}, start);
    roster.record({"b:1#777"}, start);
    CHECK(roster.next_change(five(), "a:1#founder", no_contact_lost, start) ==
          change{"b:1#777", "b:1#founder"});
}

TEST_CASE("an unreachable or leaving voter is replaced only if there is a spare") {
    voter_roster roster({.desired_voters = 5}, start);
    const auto contact_with_d_lost = [](const node_address &voter) -> duration {
        return voter == "d:1#4" ? 3s : 0s;
    };
    CHECK_FALSE(roster.next_change(five(), "a:1#founder", contact_with_d_lost, start));
    roster.record({"f:1#6"}, start);
    CHECK(roster.next_change(five(), "a:1#founder", contact_with_d_lost, start) ==
          change{"f:1#6", "d:1#4"});
    CHECK_FALSE(roster.next_change(five(), "a:1#founder", no_contact_lost, start));
    roster.record({.identity = "e:1#5", .leaving = true}, start);
    CHECK(roster.next_change(five(), "a:1#founder", no_contact_lost, start) ==
          change{"f:1#6", "e:1#5"});
    roster.record({"e:1#5"}, start); // the leaving process was restarted
    CHECK_FALSE(roster.next_change(five(), "a:1#founder", no_contact_lost, start));
}

TEST_CASE("contacts cover voters and configured addresses, also after a seed was replaced") {
    voter_roster roster({.desired_voters = 5, .contacts = {"a:1", "x:1"}}, start);
    const auto contacts = roster.contacts(five());
    CHECK(contacts.size() == 6);
    CHECK(std::count(contacts.begin(), contacts.end(), "x:1") == 1);
    CHECK(std::count(contacts.begin(), contacts.end(), "a:1") == 0);
    CHECK(address_of("a:1#founder") == "a:1");
    CHECK(address_of("a:1") == "a:1");
}
