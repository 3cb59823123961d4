#include "peppertack/coordination/crash_reporter.hpp"

#include <doctest/doctest.h>

using namespace peppertack;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t incarnation = 7;
constexpr std::uint64_t cause = 1;
constexpr std::uint64_t popular = 2;

const instant start(1000s);

} // namespace

TEST_CASE("broken connections are reported only once the target has ended") {
    crash_reporter reporter;
    reporter.note_unanswered(cause, incarnation, start);
    CHECK(reporter.due(start + 10s).empty());
    reporter.note_end("t", incarnation, start + 10s);
    CHECK(reporter.due(start + 10s).empty()); // other connections may still break
    reporter.note_unanswered(cause + 4, incarnation, start + 10s + 1ms);
    const auto due = reporter.due(start + 11s);
    REQUIRE(due.size() == 1);
    CHECK(due[0] == crash_report{"t", incarnation, {cause + 4, cause}});
    reporter.recorded({incarnation});
    CHECK(reporter.due(start + 12s).empty());
}

TEST_CASE("requests that broke off before the target answered others are not reported") {
    crash_reporter reporter;
    reporter.note_unanswered(popular, incarnation, start);
    reporter.note_answered(popular + 1, incarnation, {}, start + 1s);
    reporter.note_unanswered(cause, incarnation, start + 1s);
    reporter.note_end("t", incarnation, start + 5s);
    const auto due = reporter.due(start + 6s);
    REQUIRE(due.size() == 1);
    CHECK(due[0].running == std::vector<std::uint64_t>{cause});
}

TEST_CASE("requests of another incarnation of the target are not reported with this one") {
    crash_reporter reporter;
    reporter.note_unanswered(cause, incarnation + 1, start);
    reporter.note_end("t", incarnation, start);
    CHECK(reporter.due(start + 1s).empty());
}

TEST_CASE("a request that the target answered recently is not reported") {
    crash_reporter reporter;
    reporter.note_answered(popular, incarnation, {}, start);
    reporter.note_unanswered(popular, incarnation, start + 1s);
    reporter.note_unanswered(cause, incarnation, start + 1s);
    reporter.note_end("t", incarnation, start + 1s);
    const auto due = reporter.due(start + 2s);
    REQUIRE(due.size() == 1);
    CHECK(due[0].running == std::vector<std::uint64_t>{cause});
}

TEST_CASE("a request without a fingerprint is never reported") {
    crash_reporter reporter;
    reporter.note_unanswered(0, incarnation, start);
    reporter.note_end("t", incarnation, start);
    CHECK(reporter.due(start + 1s).empty());
}

TEST_CASE("a report that no leader accepts is discarded after its lifetime") {
    crash_reporter reporter;
    reporter.note_unanswered(cause, incarnation, start);
    reporter.note_end("t", incarnation, start);
    reporter.note_end("u", incarnation + 1, start + 1h);
    CHECK(reporter.due(start + 1h + 1s).empty());
}

TEST_CASE("an answer to a suspect request is reported until the leader has cleared it") {
    crash_reporter reporter;
    suspect_list known;
    known.replace(1, {{cause, false}});
    reporter.note_answered(cause, incarnation, known, start);
    reporter.note_answered(popular, incarnation, known, start);
    renew_request request;
    for (int i = 0; i < 2; ++i) {
        reporter.fill_report(request, known, start);
        CHECK(request.acquitted == std::vector<std::uint64_t>{cause});
    }
    known.replace(2, {});
    reporter.fill_report(request, known, start);
    CHECK(request.acquitted.empty());
}

TEST_CASE("a report does not wait for the next renewal") {
    crash_reporter reporter;
    reporter.note_unanswered(cause, incarnation, start);
    CHECK_FALSE(reporter.has_unsent_report(start + 1s));
    reporter.note_end("t", incarnation, start);
    CHECK(reporter.has_unsent_report(start + 1s));
    renew_request request;
    reporter.fill_report(request, {}, start + 1s);
    CHECK(request.crashes.size() == 1);
    CHECK_FALSE(reporter.has_unsent_report(start + 1s));
}
