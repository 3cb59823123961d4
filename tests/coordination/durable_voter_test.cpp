#include "fake_storage.hpp"
#include "peppertack/coordination/durable_voter.hpp"

#include <doctest/doctest.h>

using namespace peppertack;
using namespace peppertack::testing;
using namespace std::chrono_literals;

namespace {

constexpr duration tick_interval = 10ms;
using disk_event = durable_voter::disk_event;

/// A voter with fake storage; `run` does the work of the control thread.
struct voter_fixture {
    explicit voter_fixture(std::set<node_address> voters = {"a:1"}) {
        durable_voter::options settings;
        settings.control.replication.self = "a:1";
        settings.control.replication.initial.voters = std::move(voters);
        settings.control.roster.desired_voters = 3;
        std::string reason;
        voter = durable_voter::make(
            settings, disk, [](const audit_record &) { return true; }, {now, 0}, reason);
        REQUIRE_MESSAGE(voter, reason);
    }

    void run(duration time) {
        for (const instant until = now + time; now < until; now += tick_interval) {
            voter->core().tick({now, 0});
            for (const submit_answer &answer : voter->core().take_answers()) {
                answers.push_back(answer);
            }
            for (const outgoing &item : voter->core().take_outgoing()) {
                offers += std::holds_alternative<join_request>(item.body) ? 1 : 0;
            }
            const disk_event event = voter->check_disk({now, 0});
            if (event != disk_event::none) {
                disk_events.push_back(event);
            }
        }
    }

    std::uint64_t submit(const std::string &change_id) {
        const std::uint64_t base = voter->core().state().table_version();
        return voter->core().submit(
            {0, "operator", "edited",
             change_table{change_id, base,
                          "service,failure_domain,weight,max_in_flight,max_connections,max_queue\n"
                          "avisos,zone-0,1,4,8,50\n"}},
            {now, 0});
    }

    replica::role role() const { return voter->core().replication().current_role(); }

    fake_storage disk;
    std::unique_ptr<durable_voter> voter;
    instant now{1000s};
    std::vector<submit_answer> answers;
    std::vector<disk_event> disk_events;
    std::size_t offers = 0; ///< join requests sent
};

} // namespace

TEST_CASE("requests pending at a disk failure are answered once with an uncertain outcome") {
    voter_fixture fixture;
    fixture.run(2s);
    REQUIRE(fixture.voter->core().established());
    fixture.submit("kept");
    fixture.run(100ms);
    REQUIRE(fixture.answers.size() == 1);
    REQUIRE(fixture.answers.front().error == error_kind::none);
    fixture.disk.set_fault(fake_storage::fault::full);
    const std::uint64_t ticket = fixture.submit("lost");
    fixture.run(2s);
    fixture.submit("while the disk is full");
    fixture.run(1s);
    REQUIRE(fixture.answers.size() == 3);
    CHECK(fixture.answers[1].ticket == ticket);
    CHECK(fixture.answers[1].error == error_kind::not_leader);
    CHECK_FALSE(fixture.answers[1].certain);
    CHECK(fixture.answers[2].error == error_kind::not_leader);
    CHECK(fixture.disk_events == std::vector<disk_event>{disk_event::failed});
    fixture.disk.set_fault(fake_storage::fault::none);
    fixture.run(4s);
    CHECK(fixture.answers.size() == 3);
    CHECK(fixture.disk_events ==
          std::vector<disk_event>{disk_event::failed, disk_event::recovered});
    REQUIRE(fixture.voter->core().established());
    CHECK(fixture.voter->core().state().table_change_id() == "kept");
    fixture.submit("after");
    fixture.run(100ms);
    REQUIRE(fixture.answers.size() == 4);
    CHECK(fixture.answers.back().error == error_kind::none);
}

TEST_CASE("a disk that keeps failing is retried about once a second") {
    voter_fixture fixture;
    fixture.run(2s);
    fixture.disk.set_fault(fake_storage::fault::full);
    fixture.submit("lost");
    fixture.run(60s);
    CHECK(fixture.role() == replica::role::failed);
    CHECK(fixture.voter->reopen_attempts() > 55);
    CHECK(fixture.voter->reopen_attempts() < 66);
    CHECK(fixture.voter->last_reason().find("disk") != std::string::npos);
    fixture.disk.set_fault(fake_storage::fault::none);
    fixture.run(1100ms);
    CHECK(fixture.disk_events ==
          std::vector<disk_event>{disk_event::failed, disk_event::recovered});
}

TEST_CASE("a disk that fails right after each recovery does not reset the retry delay") {
    voter_fixture fixture;
    fixture.run(2s);
    for (int i = 0; i < 2000; ++i) {
        // The log opens, and the next write of the voter fails.
        const bool disk_failed = fixture.role() == replica::role::failed;
        fixture.disk.set_fault(disk_failed ? fake_storage::fault::none
                                           : fake_storage::fault::sync_fails);
        if (!disk_failed) {
            fixture.submit("number " + std::to_string(i));
        }
        fixture.run(tick_interval);
    }
    CHECK(fixture.disk_events.size() > 20);
    CHECK(fixture.disk_events.size() < 60);
}

TEST_CASE("a voter whose committed log diverges from the leader's stays failed") {
    // The voter cannot decide which of two diverged histories is valid, and reopening the same log
    // would only lead to the same conflict.
    voter_fixture fixture({"a:1", "b:1", "c:1"});
    const auto entries = [](std::uint64_t term) {
        return std::vector<log_entry>{{1, term, entry_kind::election, ""}};
    };
    fixture.voter->core().receive(
        "b:1", append_request{.term = 5, .commit_index = 1, .entries = entries(5)},
        {fixture.now, 0});
    REQUIRE(fixture.voter->core().replication().commit_index() == 1);
    fixture.voter->core().receive("c:1", append_request{.term = 6, .entries = entries(6)},
                                  {fixture.now, 0});
    REQUIRE(fixture.role() == replica::role::failed);
    fixture.run(20s);
    CHECK(fixture.role() == replica::role::failed);
    CHECK(fixture.disk_events.empty());
}

TEST_CASE("a voter whose log was damaged during a disk failure stays failed") {
    voter_fixture fixture;
    fixture.run(2s);
    fixture.submit("kept");
    fixture.run(100ms);
    const std::string name = fixture.disk.list()->back();
    fixture.disk.set_fault(fake_storage::fault::full);
    fixture.submit("lost");
    fixture.run(100ms);
    fixture.disk.bytes_of(name)[60] ^= 1;
    fixture.disk.set_fault(fake_storage::fault::none);
    fixture.run(5s);
    CHECK(fixture.disk_events == std::vector<disk_event>{disk_event::failed, disk_event::damaged});
    CHECK(fixture.role() == replica::role::failed);
    CHECK(fixture.voter->last_reason().find("damaged") != std::string::npos);
}

TEST_CASE("a vote granted before a disk failure is not granted to another candidate") {
    voter_fixture fixture({"a:1", "b:1", "c:1"});
    const auto vote_for = [&](const node_address &candidate, std::uint64_t term) {
        fixture.voter->core().receive(candidate, vote_request{.term = term}, {fixture.now, 0});
        for (const outgoing &item : fixture.voter->core().take_outgoing()) {
            if (const auto *reply = std::get_if<vote_reply>(&item.body)) {
                return reply->granted;
            }
        }
        return false;
    };
    REQUIRE(vote_for("b:1", 7));
    fixture.disk.set_fault(fake_storage::fault::sync_fails);
    CHECK_FALSE(vote_for("c:1", 8));
    REQUIRE(fixture.role() == replica::role::failed);
    fixture.disk.set_fault(fake_storage::fault::none);
    fixture.run(tick_interval * 15);
    REQUIRE(fixture.disk_events ==
            std::vector<disk_event>{disk_event::failed, disk_event::recovered});
    CHECK_FALSE(vote_for("c:1", 7));
    CHECK(vote_for("b:1", fixture.voter->core().replication().term() + 1));
}

TEST_CASE("a voter whose disk has failed does not offer itself as a spare") {
    // Guards against a failed voter that is never replaced although a healthy spare exists. A
    // replaced voter whose disk failed writes offered itself again, was chosen first because of its
    // name, could not store the log, was cancelled after the timeout, and was chosen again.
    voter_fixture fixture({"a:1", "b:1", "c:1"});
    fixture.run(1s);
    CHECK(fixture.offers > 0);
    fixture.disk.set_fault(fake_storage::fault::full);
    fixture.voter->core().receive("b:1", append_request{.term = 9}, {fixture.now, 0});
    REQUIRE(fixture.role() == replica::role::failed);
    fixture.offers = 0;
    fixture.run(5s);
    CHECK(fixture.offers == 0);
    fixture.disk.set_fault(fake_storage::fault::none);
    fixture.run(3s);
    CHECK(fixture.offers > 0);
}
