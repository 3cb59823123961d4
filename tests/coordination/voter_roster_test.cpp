#include "peppertack/coordination/voter_roster.hpp"

#include <doctest/doctest.h>

using namespace peppertack;
using namespace std::chrono_literals;

namespace {

constexpr instant start(1000s);

membership five() {
    return {.voters = {"a:1#founder", "b:1#founder", "c:1#founder", "d:1#4", "e:1#5"}};
}

duration nobody_silent(const node_address &) {
    return {};
}

using change = voter_roster::change;

} // namespace

TEST_CASE("spares are taken in until there are enough voters") {
    voter_roster roster({.desired_voters = 5}, start);
    const membership three{.voters = {"a:1#founder", "b:1#founder", "c:1#founder"}};
    CHECK_FALSE(roster.next_change(three, "a:1#founder", nobody_silent, start));
    roster.record({"d:1#4"}, start);
    CHECK(roster.next_change(three, "a:1#founder", nobody_silent, start) == change{"d:1#4", {}});
    membership busy = three;
    busy.learner = "d:1#4";
    CHECK_FALSE(roster.next_change(busy, "a:1#founder", nobody_silent, start));
    CHECK_FALSE(roster.next_change(five(), "a:1#founder", nobody_silent, start));
    // An offer that is not repeated is not counted on.
    CHECK_FALSE(roster.next_change(three, "a:1#founder", nobody_silent, start + 5s));
}

TEST_CASE("a voter that comes back without its disk is a stranger that replaces its old self") {
    // Symptom: a change that was acknowledged is gone. Sequence: of five voters three held it; two
    // of these lost their disks and came back under their old names, and with the two that never
    // had it they elected a leader without it. Cause: a name stood for promises that its disk had
    // lost.
    voter_roster roster({.desired_voters = 5}, start);
    roster.record({"b:1#777"}, start);
    CHECK(roster.next_change(five(), "a:1#founder", nobody_silent, start) ==
          change{"b:1#777", "b:1#founder"});
}

TEST_CASE("a silent or leaving voter is replaced only if there is a spare") {
    voter_roster roster({.desired_voters = 5}, start);
    const auto d_silent = [](const node_address &voter) -> duration {
        return voter == "d:1#4" ? 3s : 0s;
    };
    CHECK_FALSE(roster.next_change(five(), "a:1#founder", d_silent, start));
    roster.record({"f:1#6"}, start);
    CHECK(roster.next_change(five(), "a:1#founder", d_silent, start) == change{"f:1#6", "d:1#4"});
    CHECK_FALSE(roster.next_change(five(), "a:1#founder", nobody_silent, start));
    roster.record({.identity = "e:1#5", .leaving = true}, start);
    CHECK(roster.next_change(five(), "a:1#founder", nobody_silent, start) ==
          change{"f:1#6", "e:1#5"});
    roster.record({"e:1#5"}, start); // it was only restarted
    CHECK_FALSE(roster.next_change(five(), "a:1#founder", nobody_silent, start));
}

TEST_CASE("a process knows whom to ask, also after a seed was replaced") {
    voter_roster roster({.desired_voters = 5, .contacts = {"a:1", "x:1"}}, start);
    const auto contacts = roster.contacts(five());
    CHECK(contacts.size() == 6);
    CHECK(std::count(contacts.begin(), contacts.end(), "x:1") == 1);
    CHECK(std::count(contacts.begin(), contacts.end(), "a:1") == 0);
    CHECK(address_of("a:1#founder") == "a:1");
    CHECK(address_of("a:1") == "a:1");
}
