#include "peppertack/state/control_state.hpp"
#include "peppertack/state/crash_history.hpp"

#include <doctest/doctest.h>

using namespace peppertack;

namespace {

using fingerprints = std::vector<std::uint64_t>;

constexpr std::uint64_t cause = 1;
constexpr std::uint64_t bystander = 2;
constexpr std::int64_t hour_ms = 3'600'000;

command reported(std::uint64_t life, fingerprints running, std::int64_t wall_ms = 0) {
    return {wall_ms, "node", "ended", report_crash{"t", life, std::move(running)}};
}

} // namespace

TEST_CASE("what runs at three ends in a row is quarantined, what runs at two of them is not") {
    crash_history ledger;
    CHECK(ledger.record_crash(11, {cause, bystander}, 0).empty());
    CHECK(ledger.listed().empty());
    CHECK(ledger.record_crash(12, {cause, bystander}, 0).empty());
    CHECK(ledger.listed() == std::vector<suspect_request>{{cause, false}, {bystander, false}});
    CHECK(ledger.record_crash(13, {cause}, 0) == fingerprints{cause});
    CHECK(ledger.listed() == std::vector<suspect_request>{{cause, true}});
}

TEST_CASE("ends that a quarantined request explains count against no other") {
    crash_history ledger;
    for (const std::uint64_t life : {11, 12}) {
        ledger.record_crash(life, {cause, bystander}, 0);
    }
    CHECK(ledger.record_crash(13, {cause}, 0) == fingerprints{cause});
    ledger.record_crash(14, {cause, bystander}, 0); // it was on its way to the target by then
    CHECK(ledger.record_crash(15, {bystander}, 0).empty());
    CHECK(ledger.listed() == std::vector<suspect_request>{{cause, true}});
}

TEST_CASE("of two that ran at the same three ends none is quarantined before one stands out") {
    crash_history ledger;
    for (const std::uint64_t life : {11, 12, 13}) {
        CHECK(ledger.record_crash(life, {cause, bystander}, 0).empty());
    }
    CHECK(ledger.record_crash(14, {cause, bystander + 1}, 0) == fingerprints{cause});
}

TEST_CASE("two that always run together are both quarantined in the end") {
    crash_history ledger;
    for (const std::uint64_t life : {11, 12, 13, 14, 15}) {
        CHECK(ledger.record_crash(life, {cause, bystander}, 0).empty());
    }
    CHECK(ledger.record_crash(16, {cause, bystander}, 0) == fingerprints{cause, bystander});
}

TEST_CASE("an end that is reported again counts once") {
    crash_history ledger;
    for (int i = 0; i < 4; ++i) {
        CHECK(ledger.record_crash(11, {cause}, 0).empty());
    }
    CHECK(ledger.listed().empty());
}

TEST_CASE("a run to the end clears what was suspected") {
    crash_history ledger;
    ledger.record_crash(11, {cause}, 0);
    ledger.record_crash(12, {cause}, 0);
    CHECK(ledger.remove_suspect(cause));
    CHECK_FALSE(ledger.remove_suspect(cause));
    CHECK(ledger.record_crash(13, {cause}, 0).empty());
}

TEST_CASE("after a quarantine one end is enough to bring it back") {
    crash_history ledger;
    for (const std::uint64_t life : {11, 12, 13}) {
        ledger.record_crash(life, {cause}, 0);
    }
    CHECK(ledger.put_on_probation(cause));
    CHECK_FALSE(ledger.put_on_probation(cause));
    CHECK(ledger.listed() == std::vector<suspect_request>{{cause, false}});
    CHECK(ledger.record_crash(14, {cause}, 0) == fingerprints{cause});
}

TEST_CASE("a suspicion is forgotten with time, a quarantine is not") {
    crash_history ledger;
    for (const std::uint64_t life : {11, 12, 13}) {
        ledger.record_crash(life, {cause}, 0);
    }
    ledger.record_crash(14, {bystander}, 0);
    ledger.record_crash(15, {bystander}, 0);
    ledger.record_crash(16, {}, hour_ms);
    CHECK(ledger.listed() == std::vector<suspect_request>{{cause, true}});
}

TEST_CASE("many ends at once push out suspicions, never a quarantine") {
    crash_history ledger;
    for (const std::uint64_t life : {11, 12, 13}) {
        ledger.record_crash(life, {cause}, 0);
    }
    std::uint64_t next = 1000;
    for (std::uint64_t life = 20; life < 1020; ++life) {
        fingerprints running;
        for (int i = 0; i < 18; ++i) {
            running.push_back(++next);
        }
        ledger.record_crash(life, running, 1);
    }
    CHECK(ledger.entries().size() < 5000);
    CHECK(ledger.listed() == std::vector<suspect_request>{{cause, true}});
}

TEST_CASE("the replicated state keeps what ended targets ran, through a snapshot") {
    control_state state;
    std::uint64_t index = 0;
    for (const std::uint64_t life : {11, 12, 13}) {
        const auto applied = state.apply(++index, reported(life, {cause, life}));
        CHECK(applied.error == error_kind::none);
        REQUIRE(applied.audit);
        CHECK((applied.audit->after.find("quarantined: 0000000000000001") == 0) == (life == 13));
    }
    CHECK(state.suspects_version() == 3);
    CHECK(state.apply(++index, reported(13, {cause})).error == error_kind::cancelled);
    std::string reason;
    const auto read = control_state::decode(state.encode(), reason);
    REQUIRE_MESSAGE(read, reason);
    CHECK(read->crashes() == state.crashes());
    CHECK(read->suspects_version() == 3);
    control_state cleared = *read;
    CHECK(cleared.apply(9, {0, "operator", "", clear_suspects{{cause}, false}}).error ==
          error_kind::none);
    CHECK(cleared.crashes().listed().empty());
    CHECK(cleared.suspects_version() == 9);
}
