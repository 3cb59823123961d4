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

TEST_CASE("a request running at three crashes is quarantined, one running at two is not") {
    crash_history ledger;
    CHECK(ledger.record_crash(11, {cause, bystander}, 0).empty());
    CHECK(ledger.listed().empty());
    CHECK(ledger.record_crash(12, {cause, bystander}, 0).empty());
    CHECK(ledger.listed() == std::vector<suspect_request>{{cause, false}, {bystander, false}});
    CHECK(ledger.record_crash(13, {cause}, 0) == fingerprints{cause});
    CHECK(ledger.listed() == std::vector<suspect_request>{{cause, true}});
}

TEST_CASE("crashes attributed to a quarantined request do not count against others") {
    crash_history ledger;
    for (const std::uint64_t life : {11, 12}) {
        ledger.record_crash(life, {cause, bystander}, 0);
    }
    CHECK(ledger.record_crash(13, {cause}, 0) == fingerprints{cause});
    ledger.record_crash(14, {cause, bystander}, 0); // already on its way to the target
    CHECK(ledger.record_crash(15, {bystander}, 0).empty());
    CHECK(ledger.listed() == std::vector<suspect_request>{{cause, true}});
}

TEST_CASE("requests with equal crash counts are not quarantined until one has more") {
    crash_history ledger;
    for (const std::uint64_t life : {11, 12, 13}) {
        CHECK(ledger.record_crash(life, {cause, bystander}, 0).empty());
    }
    CHECK(ledger.record_crash(14, {cause, bystander + 1}, 0) == fingerprints{cause});
}

TEST_CASE("two requests that always run together are both quarantined after six crashes") {
    crash_history ledger;
    for (const std::uint64_t life : {11, 12, 13, 14, 15}) {
        CHECK(ledger.record_crash(life, {cause, bystander}, 0).empty());
    }
    CHECK(ledger.record_crash(16, {cause, bystander}, 0) == fingerprints{cause, bystander});
}

TEST_CASE("a duplicate crash report counts once") {
    crash_history ledger;
    for (int i = 0; i < 4; ++i) {
        CHECK(ledger.record_crash(11, {cause}, 0).empty());
    }
    CHECK(ledger.listed().empty());
}

TEST_CASE("completing a request removes it from the suspects") {
    crash_history ledger;
    ledger.record_crash(11, {cause}, 0);
    ledger.record_crash(12, {cause}, 0);
    CHECK(ledger.remove_suspect(cause));
    CHECK_FALSE(ledger.remove_suspect(cause));
    CHECK(ledger.record_crash(13, {cause}, 0).empty());
}

TEST_CASE("one crash on probation quarantines a request again") {
    crash_history ledger;
    for (const std::uint64_t life : {11, 12, 13}) {
        ledger.record_crash(life, {cause}, 0);
    }
    CHECK(ledger.put_on_probation(cause));
    CHECK_FALSE(ledger.put_on_probation(cause));
    CHECK(ledger.listed() == std::vector<suspect_request>{{cause, false}});
    CHECK(ledger.record_crash(14, {cause}, 0) == fingerprints{cause});
}

TEST_CASE("suspects expire, quarantined requests do not") {
    crash_history ledger;
    for (const std::uint64_t life : {11, 12, 13}) {
        ledger.record_crash(life, {cause}, 0);
    }
    ledger.record_crash(14, {bystander}, 0);
    ledger.record_crash(15, {bystander}, 0);
    ledger.record_crash(16, {}, hour_ms);
    CHECK(ledger.listed() == std::vector<suspect_request>{{cause, true}});
}

TEST_CASE("many simultaneous crashes evict suspects, but no quarantined request") {
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

TEST_CASE("the crash history survives a snapshot of the replicated state") {
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
