#include "fake_storage.hpp"
#include "peppertack/coordination/durable_voter.hpp"

#include <doctest/doctest.h>

using namespace peppertack;
using namespace peppertack::testing;
using namespace std::chrono_literals;

namespace {

constexpr duration tick_interval = 10ms;
using news = durable_voter::disk_event;

/// A voter over a fake disk, with what the thread around it would do.
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
            const news found = voter->check_disk({now, 0});
            if (found != news::none) {
                heard.push_back(found);
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
    std::vector<news> heard;
    std::size_t offers = 0; ///< to become a voter
};

} // namespace

TEST_CASE("calls that wait when the disk fails are told once that nothing was decided") {
    voter_fixture alone;
    alone.run(2s);
    REQUIRE(alone.voter->core().established());
    alone.submit("kept");
    alone.run(100ms);
    REQUIRE(alone.answers.size() == 1);
    REQUIRE(alone.answers.front().error == error_kind::none);
    alone.disk.set_fault(fake_storage::fault::full);
    const std::uint64_t ticket = alone.submit("lost");
    alone.run(2s);
    alone.submit("while the disk is full");
    alone.run(1s);
    REQUIRE(alone.answers.size() == 3);
    CHECK(alone.answers[1].ticket == ticket);
    CHECK(alone.answers[1].error == error_kind::not_leader);
    CHECK_FALSE(alone.answers[1].certain);
    CHECK(alone.answers[2].error == error_kind::not_leader);
    CHECK(alone.heard == std::vector<news>{news::failed});
    alone.disk.set_fault(fake_storage::fault::none);
    alone.run(4s);
    CHECK(alone.answers.size() == 3);
    CHECK(alone.heard == std::vector<news>{news::failed, news::recovered});
    REQUIRE(alone.voter->core().established());
    CHECK(alone.voter->core().state().table_change_id() == "kept");
    alone.submit("after");
    alone.run(100ms);
    REQUIRE(alone.answers.size() == 4);
    CHECK(alone.answers.back().error == error_kind::none);
}

TEST_CASE("a disk that refuses for long is tried about once a second") {
    voter_fixture alone;
    alone.run(2s);
    alone.disk.set_fault(fake_storage::fault::full);
    alone.submit("lost");
    alone.run(60s);
    CHECK(alone.role() == replica::role::failed);
    CHECK(alone.voter->reopen_attempts() > 55);
    CHECK(alone.voter->reopen_attempts() < 66);
    CHECK(alone.voter->last_reason().find("disk") != std::string::npos);
    alone.disk.set_fault(fake_storage::fault::none);
    alone.run(1100ms);
    CHECK(alone.heard == std::vector<news>{news::failed, news::recovered});
}

TEST_CASE("a disk that fails again right after each success is not tried ever faster") {
    voter_fixture alone;
    alone.run(2s);
    for (int i = 0; i < 2000; ++i) {
        // It takes the log and refuses what the voter writes next.
        const bool away = alone.role() == replica::role::failed;
        alone.disk.set_fault(away ? fake_storage::fault::none : fake_storage::fault::sync_fails);
        if (!away) {
            alone.submit("number " + std::to_string(i));
        }
        alone.run(tick_interval);
    }
    CHECK(alone.heard.size() > 20);
    CHECK(alone.heard.size() < 60);
}

TEST_CASE("a voter whose log contradicts the leader's stays silent") {
    // Two histories in one system: which of them holds is not for this voter to choose, and opening
    // the same log again would only bring it back to meet the other one.
    voter_fixture one({"a:1", "b:1", "c:1"});
    const auto entries = [](std::uint64_t term) {
        return std::vector<log_entry>{{1, term, entry_kind::election, ""}};
    };
    one.voter->core().receive(
        "b:1", append_request{.term = 5, .commit_index = 1, .entries = entries(5)}, {one.now, 0});
    REQUIRE(one.voter->core().replication().commit_index() == 1);
    one.voter->core().receive("c:1", append_request{.term = 6, .entries = entries(6)},
                              {one.now, 0});
    REQUIRE(one.role() == replica::role::failed);
    one.run(20s);
    CHECK(one.role() == replica::role::failed);
    CHECK(one.heard.empty());
}

TEST_CASE("a voter whose log was damaged while its disk was away stays silent") {
    voter_fixture alone;
    alone.run(2s);
    alone.submit("kept");
    alone.run(100ms);
    const std::string name = alone.disk.list()->back();
    alone.disk.set_fault(fake_storage::fault::full);
    alone.submit("lost");
    alone.run(100ms);
    alone.disk.bytes_of(name)[60] ^= 1;
    alone.disk.set_fault(fake_storage::fault::none);
    alone.run(5s);
    CHECK(alone.heard == std::vector<news>{news::failed, news::damaged});
    CHECK(alone.role() == replica::role::failed);
    CHECK(alone.voter->last_reason().find("damaged") != std::string::npos);
}

TEST_CASE("a vote given before the disk failed is not given again") {
    voter_fixture one({"a:1", "b:1", "c:1"});
    const auto vote_for = [&](const node_address &candidate, std::uint64_t term) {
        one.voter->core().receive(candidate, vote_request{.term = term}, {one.now, 0});
        for (const outgoing &item : one.voter->core().take_outgoing()) {
            if (const auto *reply = std::get_if<vote_reply>(&item.body)) {
                return reply->granted;
            }
        }
        return false;
    };
    REQUIRE(vote_for("b:1", 7));
    one.disk.set_fault(fake_storage::fault::sync_fails);
    CHECK_FALSE(vote_for("c:1", 8));
    REQUIRE(one.role() == replica::role::failed);
    one.disk.set_fault(fake_storage::fault::none);
    one.run(tick_interval * 15);
    REQUIRE(one.heard == std::vector<news>{news::failed, news::recovered});
    CHECK_FALSE(vote_for("c:1", 7));
    CHECK(vote_for("b:1", one.voter->core().replication().term() + 1));
}

TEST_CASE("a voter whose disk is away does not offer itself as a spare") {
    // A lost voter was not made good although a sound process stood ready. One whose disk refused
    // writes had been replaced, offered itself again, was taken in first by its name, could not
    // store what it was sent, was given up after a while, and was taken in again.
    voter_fixture one({"a:1", "b:1", "c:1"});
    one.run(1s);
    CHECK(one.offers > 0);
    one.disk.set_fault(fake_storage::fault::full);
    one.voter->core().receive("b:1", append_request{.term = 9}, {one.now, 0});
    REQUIRE(one.role() == replica::role::failed);
    one.offers = 0;
    one.run(5s);
    CHECK(one.offers == 0);
    one.disk.set_fault(fake_storage::fault::none);
    one.run(3s);
    CHECK(one.offers > 0);
}
