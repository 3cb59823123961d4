#include "fake_storage.hpp"
#include "peppertack/coordination/replica.hpp"

#include <doctest/doctest.h>

using namespace peppertack;
using namespace std::chrono_literals;

namespace {

constexpr instant start(1000s);

/// A leader among three voters, with `entries` entries that nobody else has.
struct leader_fixture {
    explicit leader_fixture(std::size_t entries) {
        std::string reason;
        log.emplace(*durable_log::open(disk, reason));
        replica_options options;
        options.self = "a:1";
        options.initial.voters = {"a:1", "b:1", "c:1"};
        voter.emplace(options, *log, start);
        now += 2s;
        voter->tick(now);
        voter->receive("b:1", vote_reply{.term = 1, .pre_vote = true, .granted = true}, now);
        voter->receive("b:1", vote_reply{.term = 1, .granted = true}, now);
        REQUIRE(voter->leads());
        for (std::size_t i = 0; i < entries; ++i) {
            voter->propose(entry_kind::command, std::string(1000, 'x'));
        }
        voter->flush(now);
        voter->take_outgoing();
    }

    std::size_t entries_sent_to(const node_address &peer) {
        std::size_t count = 0;
        for (const outgoing &item : voter->take_outgoing()) {
            const auto *append = std::get_if<append_request>(&item.body);
            count += append != nullptr && item.to == peer ? append->entries.size() : 0;
        }
        return count;
    }

    peppertack::testing::fake_storage disk;
    std::optional<durable_log> log;
    std::optional<replica> voter;
    instant now = start;
};

} // namespace

TEST_CASE("refusals that are under way together do not each bring the whole log") {
    // Symptom: a leader used all of its memory while links to a failure domain lost packets.
    // Sequence: a connection was lost with the entries sent over it. Heartbeats went on and each
    // was refused, since the entries before it were missing. Refusals came back in bunches, late.
    // Cause: each refusal set the leader back and made it send all entries again, also when it had
    // just done so, and a slow link kept every copy in the leader's queue.
    leader_fixture leader(200);
    for (int i = 0; i < 20; ++i) {
        leader.now += 5ms;
        leader.voter->receive("b:1", append_reply{.term = 1, .accepted = false, .match_index = 0},
                              leader.now);
        leader.voter->tick(leader.now);
    }
    CHECK(leader.entries_sent_to("b:1") <= 2 * 201);
}

TEST_CASE("entries that were lost on their way are sent again after a while") {
    leader_fixture leader(20);
    const auto refuse = [&] {
        leader.voter->receive("b:1", append_reply{.term = 1, .accepted = false, .match_index = 0},
                              leader.now);
    };
    refuse();
    CHECK(leader.entries_sent_to("b:1") == 21);
    leader.now += 1s; // that message was lost too
    leader.voter->receive("c:1", append_reply{.term = 1, .accepted = true, .match_index = 21},
                          leader.now);
    leader.voter->tick(leader.now);
    refuse();
    CHECK(leader.entries_sent_to("b:1") >= 21);
}
