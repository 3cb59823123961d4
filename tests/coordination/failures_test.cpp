#include "ready_cluster.hpp"

#include <doctest/doctest.h>

using namespace peppertack;
using namespace peppertack::testing;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t nodes = 5;

void check_clean(simulated_cluster &in) {
    in.heal_and_check_progress();
    CHECK(in.violations() == std::vector<std::string>{});
}

std::size_t other_than(std::size_t host) {
    return (host + 1) % nodes;
}

/// Returns a key whose owner is not the leader's host, and that owner.
std::pair<unsigned int, std::size_t> key_beyond_leader(simulated_cluster &in) {
    for (unsigned int key = 0; key < 60; ++key) {
        const auto owner = in.owner_of(key);
        if (owner && owner != in.leader()) {
            return {key, *owner};
        }
    }
    FAIL("no key is owned beyond the leader");
    return {};
}

} // namespace

TEST_CASE("an owner's node is cut off") {
    // Guards against a lease that is valid on an isolated node for longer than the leader waits.
    // The owner's node is partitioned in both directions while it has requests, and another takes
    // over its keys: two servers would act on one key.
    auto in = make_ready_cluster();
    const auto [key, owner] = key_beyond_leader(*in);
    for (std::size_t i = 0; i < in->hosts(); ++i) {
        in->cut(owner, i);
        in->cut(i, owner);
    }
    for (int i = 0; i < 40; ++i) {
        in->submit(owner, key, simulated_cluster::request_kind::once, 300ms);
        in->run(50ms);
    }
    const auto taken_by = in->owner_of(key);
    REQUIRE(taken_by);
    CHECK(*taken_by != owner);
    check_clean(*in);
}

TEST_CASE("a leader is cut off from the voters but not from some nodes") {
    // Guards against answering a renewal without a quorum confirmation after its arrival. A leader
    // loses contact with the other voters while nodes on its side keep renewing: they would serve
    // under leases of a deposed leader.
    auto in = make_ready_cluster();
    const std::size_t leader = *in->leader();
    for (std::size_t voter = 0; voter < 3; ++voter) {
        if (voter != leader) {
            in->cut(leader, voter);
            in->cut(voter, leader);
        }
    }
    for (int i = 0; i < 60; ++i) {
        in->submit(3, static_cast<unsigned int>(i % 12), simulated_cluster::request_kind::once);
        in->run(50ms);
    }
    const auto now = in->leader();
    REQUIRE(now);
    CHECK(in->control(leader).established() == false);
    check_clean(*in);
}

TEST_CASE("a control instance is cut off for a long time and returns") {
    // Guards against an old table coming back. A voter misses a hundred changes and snapshots, then
    // the network heals: its stale log must not win an election, and its state must not reach
    // nodes.
    auto in = make_ready_cluster();
    const std::size_t away = (*in->leader() + 1) % 3;
    for (std::size_t i = 0; i < in->hosts(); ++i) {
        in->cut(away, i);
        in->cut(i, away);
    }
    for (int i = 0; i < 100; ++i) {
        in->change_table(*in->leader(), in->accepted_version(), "change-" + std::to_string(i),
                         1 + i % 3);
        in->run(60ms);
    }
    const std::uint64_t accepted = in->accepted_version();
    CHECK(accepted > 90);
    in->heal_network();
    in->run(3s);
    CHECK(in->control(away).state().table_version() >= accepted);
    check_clean(*in);
}

TEST_CASE("a process restarts after hundreds of changes were made while it was away") {
    // Guards against requesting log entries that no voter holds any more. A voter's host is down
    // while changes are made and compacted; the voter or node would never catch up.
    auto in = make_ready_cluster();
    const std::size_t away = (*in->leader() + 1) % 3;
    in->crash(away);
    for (int i = 0; i < 300; ++i) {
        in->change_table(*in->leader(), in->accepted_version(), "change-" + std::to_string(i),
                         1 + i % 3);
        in->run(30ms);
    }
    in->restart(away);
    in->run(3s);
    CHECK(in->control(away).state().table_version() == in->accepted_version());
    CHECK(in->node(away).lease().table_version() == in->accepted_version());
    check_clean(*in);
}

TEST_CASE("a node is paused with a request on its way to the target") {
    // Guards against not checking the lease again directly before the write. The process is paused
    // between the decision to call the target and the write until its lease has expired; the
    // request would be written after another server took over the key.
    auto in = make_ready_cluster();
    const auto [key, owner] = key_beyond_leader(*in);
    const std::size_t number = in->submit(owner, key, simulated_cluster::request_kind::once);
    in->pause(owner);
    in->run(2500ms);
    in->resume(owner);
    in->run(500ms);
    CHECK(in->runs_of(number) <= 1);
    check_clean(*in);
}

TEST_CASE("a frozen target returns as if nothing had happened") {
    // Guards against running an idempotency key again while the outcome of its first run is
    // unknown. A target freezes with a request in progress, its keys are reassigned, the caller
    // resends, and the target resumes and finishes: a payment would run twice.
    auto in = make_ready_cluster();
    const auto [key, owner] = key_beyond_leader(*in);
    const std::size_t number =
        in->submit(other_than(owner), key, simulated_cluster::request_kind::once);
    in->run(4ms);
    in->freeze_target(owner);
    in->run(3s);
    in->resend(number, other_than(owner));
    in->run(1s);
    in->thaw_target(owner);
    in->run(1s);
    CHECK(in->runs_of(number) <= 1);
    check_clean(*in);
}

TEST_CASE("a connection is silent for good while new ones work") {
    // Guards against relying on an open connection instead of retrying over a new one. Data on the
    // open connection is lost in both directions while new connections work; the caller would wait
    // until its deadline although owner and network are healthy.
    auto in = make_ready_cluster();
    const auto [key, owner] = key_beyond_leader(*in);
    const std::size_t asked = other_than(owner);
    in->silence(asked, owner);
    const std::size_t read = in->submit(asked, key, simulated_cluster::request_kind::read);
    const std::size_t once = in->submit(asked, key, simulated_cluster::request_kind::once);
    in->run(700ms);
    REQUIRE(in->answer(read));
    REQUIRE(in->answer(once));
    CHECK(in->answer(read)->result == outcome::ran);
    CHECK(in->answer(once)->result == outcome::ran);
    CHECK(in->runs_of(once) == 1);
    check_clean(*in);
}

TEST_CASE("an owner is lost after a payment: the resend gets the first answer") {
    // Guards against a new owner without the idempotency key. The payment runs, its owner's
    // instance is lost, and the caller resends to another node: the payment would run twice.
    auto in = make_ready_cluster();
    in->run(1s);
    const auto [key, owner] = key_beyond_leader(*in);
    const std::size_t asked = other_than(owner);
    const std::size_t number = in->submit(asked, key, simulated_cluster::request_kind::once);
    in->run(200ms);
    REQUIRE(in->answer(number));
    in->crash(owner);
    in->run(2s);
    in->resend(number, asked);
    in->run(500ms);
    const std::size_t again = in->submissions() - 1;
    REQUIRE(in->answer(again));
    CHECK(in->answer(again)->result == outcome::ran);
    CHECK(*in->answer(again)->body == *in->answer(number)->body);
    CHECK(in->runs_of(number) == 1);
    check_clean(*in);
}

TEST_CASE("a second instance is lost right after the first was repaired") {
    // Guards against counting keys as replicated before the next standby holds them. The owner is
    // lost, its successor is lost just after it took over, and the caller resends: the request
    // would run twice.
    auto in = make_ready_cluster();
    in->run(1s);
    const auto [key, owner] = key_beyond_leader(*in);
    const std::size_t asked = *in->leader();
    const std::size_t number = in->submit(asked, key, simulated_cluster::request_kind::once);
    in->run(200ms);
    in->crash(owner);
    std::optional<std::size_t> next;
    for (int i = 0; i < 300 && !next; ++i) {
        in->run(10ms);
        next = in->owner_of(key);
    }
    REQUIRE(next);
    if (*next != asked) {
        in->crash(*next);
    }
    in->run(3s);
    in->resend(number, asked);
    in->run(500ms);
    CHECK(in->runs_of(number) == 1);
    check_clean(*in);
}

TEST_CASE("a voter and its disk are lost, replaced, and another voter is lost after") {
    // Guards against counting a new voter before it has caught up. A voter is lost permanently and
    // replaced, and right after that the leader is lost: an accepted table would be gone.
    auto in = make_ready_cluster();
    for (int i = 0; i < 20; ++i) {
        in->change_table(*in->leader(), in->accepted_version(), "change-" + std::to_string(i), 2);
        in->run(60ms);
    }
    in->replace_voter((*in->leader() + 1) % 3);
    in->run(2s);
    const std::uint64_t accepted = in->accepted_version();
    in->crash(*in->leader());
    in->run(3s);
    REQUIRE(in->leader());
    CHECK(in->control(*in->leader()).state().table_version() == accepted);
    check_clean(*in);
}

TEST_CASE("the leader's disk fails") {
    // Guards against acknowledging entries that were not synced. Syncs start to fail on the leader;
    // an accepted change would be lost in a power failure.
    auto in = make_ready_cluster();
    const std::size_t leader = *in->leader();
    in->break_disk(leader, fake_storage::fault::sync_fails);
    in->change_table(leader, in->accepted_version(), "on a broken disk", 3);
    in->run(3s);
    REQUIRE(in->leader());
    CHECK(*in->leader() != leader);
    CHECK(in->control(leader).replication().current_role() == replica::role::failed);
    check_clean(*in);
}

TEST_CASE("a planned stop: nothing fails, and new work stops within two seconds") {
    // Guards against cancelling requests in flight, or refusing requests that could be queued, at
    // each restart. A stop is announced while every node sends requests.
    auto in = make_ready_cluster();
    const auto [key, owner] = key_beyond_leader(*in);
    std::vector<std::size_t> requests;
    for (int i = 0; i < 100; ++i) {
        if (i == 20) {
            in->announce_stop(owner);
        }
        for (std::size_t node = 0; node < nodes; ++node) {
            requests.push_back(in->submit(node, static_cast<unsigned int>(i % 12),
                                          simulated_cluster::request_kind::once));
        }
        in->run(20ms);
    }
    in->run(2s);
    CHECK_FALSE(in->node(owner).owner().owned_ranges());
    for (const std::size_t number : requests) {
        REQUIRE(in->answer(number));
        CHECK(in->answer(number)->result == outcome::ran);
        CHECK(in->runs_of(number) == 1);
    }
    check_clean(*in);
}

TEST_CASE("nothing moves without a cause") {
    // Guards against moves for small differences of load: keys must not change owners while nothing
    // happens but requests.
    auto in = make_ready_cluster();
    in->run(5s);
    const std::size_t leader = *in->leader();
    std::uint64_t before = 0;
    const auto tokens = [&] {
        std::uint64_t sum = 0;
        for (const auto &[service, ranges] : in->control(leader).state().ranges()) {
            for (const range_record &range : ranges) {
                sum += range.token;
            }
        }
        return sum;
    };
    before = tokens();
    for (int i = 0; i < 200; ++i) {
        in->submit(static_cast<std::size_t>(i) % nodes, static_cast<unsigned int>(i * 7 % 60),
                   simulated_cluster::request_kind::read);
        in->run(100ms);
    }
    CHECK(tokens() == before);
    check_clean(*in);
}

TEST_CASE("a voter with the longer log and an earlier term can still be elected") {
    // Guards against pre-vote refusals that hide a later term. The leader appends an entry that no
    // other voter gets, another voter loses an election in a later term, and the third voter is
    // lost: there would be no leader although a quorum is healthy and connected.
    fake_storage disks[2];
    std::string reason;
    std::optional<durable_log> longer = durable_log::open(disks[0], reason);
    std::optional<durable_log> later = durable_log::open(disks[1], reason);
    longer->save_vote({1, "a"});
    longer->append({{1, 1, entry_kind::election, ""}, {2, 1, entry_kind::election, ""}});
    later->save_vote({2, "b"});
    later->append({{1, 1, entry_kind::election, ""}});
    const membership members{.voters = {"a", "b", "c"}};
    instant now(100s);
    replica a({.self = "a", .initial = members, .seed = 1}, *longer, now);
    replica b({.self = "b", .initial = members, .seed = 2}, *later, now);
    for (int i = 0; i < 500 && !a.leads(); ++i) {
        now += 10ms;
        a.tick(now);
        b.tick(now);
        for (const outgoing &item : a.take_outgoing()) {
            if (item.to == "b") {
                b.receive("a", item.body, now);
            }
        }
        for (const outgoing &item : b.take_outgoing()) {
            if (item.to == "a") {
                a.receive("b", item.body, now);
            }
        }
    }
    CHECK(a.leads());
    CHECK(a.term() > 2);
}

TEST_CASE("sequences in which the fuzzer found a violation") {
    // Guards against taking the acknowledgement of a standby batch for that of a hand-over with the
    // same sequence number: a request that may run only once ran twice. The sequence was found and
    // shrunk by the fuzzer.
    simulated_cluster in({.seed = 376342666});
    in.run(1200ms);
    in.change_table(in.leader().value_or(0), 0, "change-first", 1);
    in.run(2500ms);
    for (unsigned int i = 0; i < 6; ++i) {
        in.submit((237 + i) % 5, (277 + i / 2) % 12, simulated_cluster::request_kind::once);
    }
    in.run(1041ms);
    in.crash(2);
    in.run(801ms);
    for (unsigned int i = 0; i < 6; ++i) {
        in.submit((37 + i) % 5, (574 + i / 2) % 12, simulated_cluster::request_kind::once);
    }
    check_clean(in);
}

TEST_CASE("a node is cut off from the leader alone") {
    // Guards against renewals that reach the leader only directly. Some nodes lost the connection
    // to the leader while they reached other voters, and these the leader. The leases expired and
    // the keys were reassigned: a third of the lookups was refused for six seconds, and caches were
    // cold afterwards.
    auto in = make_ready_cluster();
    const auto [key, owner] = key_beyond_leader(*in);
    const std::size_t leader = *in->leader();
    in->cut(owner, leader);
    in->cut(leader, owner);
    for (int i = 0; i < 50; ++i) {
        in->run(100ms);
        CHECK(in->owner_of(key) == owner);
    }
    CHECK(in->leader() == leader);
    check_clean(*in);
}

TEST_CASE("a voter whose disk was full for a while takes part again") {
    // Guards against a voter that stays failed after its disk has space again. The disk of one of
    // five voters was full for 2.4 s ("voter_role failed, can't write log-00000000000000000000: No
    // space left on device"), and its log refused every write after the first failed one. When two
    // other voters were lost 6.2 s later, only two of five could vote: there was no leader, and
    // acknowledged routes reached no node.
    auto in = make_ready_cluster({.voters = 5});
    const std::size_t full = other_than(*in->leader());
    in->break_disk(full, fake_storage::fault::full);
    in->change_table(*in->leader(), in->accepted_version(), "while one disk is full", 2);
    in->run(2400ms);
    REQUIRE(in->control(full).replication().current_role() == replica::role::failed);
    in->break_disk(full, fake_storage::fault::none);
    in->run(4s);
    CHECK(in->control(full).replication().current_role() != replica::role::failed);
    for (std::size_t lost = 0, left = 2; left > 0; ++lost) {
        if (lost != full) {
            in->crash(lost);
            --left;
        }
    }
    in->run(4s);
    REQUIRE(in->leader());
    const std::uint64_t before = in->accepted_version();
    in->change_table(*in->leader(), before, "with two voters lost", 3);
    in->run(1s);
    CHECK(in->accepted_version() > before);
    check_clean(*in);
}

// Guards against leases that expire because voters wait for their disks.
TEST_CASE("no key loses its owner while the disks of all voters stall") {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        CAPTURE(seed);
        const auto in = make_ready_cluster({.seed = seed});
        const auto decided = [&] {
            std::uint64_t most = 0;
            for (std::size_t voter = 0; voter < 3; ++voter) {
                most = std::max(most, in->control(voter).replication().commit_index());
            }
            return most;
        };
        in->run(5s);
        for (std::size_t voter = 0; voter < 3; ++voter) {
            in->set_sync_time(voter, 30s);
        }
        const std::uint64_t before = decided();
        for (int i = 0; i < 100; ++i) {
            const std::size_t sent =
                in->submit(static_cast<std::size_t>(i) % 5, static_cast<unsigned int>(i) % 12,
                           simulated_cluster::request_kind::once);
            in->run(200ms);
            REQUIRE(in->answer(sent));
            CHECK(in->answer(sent)->result == outcome::ran);
        }
        CHECK(decided() == before);
        check_clean(*in);
    }
}

// Guards against a candidate with a fast disk that restarts the election before slower voters can
// answer.
TEST_CASE("a leader is elected though the disks of others are slow") {
    for (std::uint64_t seed = 1; seed <= 12; ++seed) {
        CAPTURE(seed);
        const auto in = make_ready_cluster({.seed = seed});
        const std::size_t lost = in->leader().value();
        for (std::size_t voter = 0; voter < 3; ++voter) {
            const bool fast = voter == (lost + 1 + seed % 2) % 3;
            in->set_sync_time(voter, fast ? 1ms : 1200ms);
        }
        in->crash(lost);
        in->run(15s);
        CHECK(in->leader());
        in->restart(lost);
        check_clean(*in);
    }
}
