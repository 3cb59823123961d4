#include "ready_cluster.hpp"

#include <doctest/doctest.h>

using namespace peppertack;
using namespace peppertack::testing;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t nodes = 5;

void check_recovery(simulated_cluster &cluster) {
    cluster.heal_and_check_progress();
    CHECK(cluster.violations() == std::vector<std::string>{});
}

std::size_t next_host(std::size_t host) {
    return (host + 1) % nodes;
}

/// Returns a key whose owner is not the leader's host, and that owner.
std::pair<unsigned int, std::size_t> key_not_on_leader(simulated_cluster &cluster) {
    for (unsigned int key = 0; key < 60; ++key) {
        const auto owner = cluster.owner_of(key);
        if (owner && owner != cluster.leader()) {
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
    auto cluster = make_ready_cluster();
    const auto [key, owner] = key_not_on_leader(*cluster);
    for (std::size_t i = 0; i < cluster->hosts(); ++i) {
        cluster->block_link(owner, i);
        cluster->block_link(i, owner);
    }
    for (int i = 0; i < 40; ++i) {
        cluster->submit(owner, key, simulated_cluster::request_kind::once, 300ms);
        cluster->run(50ms);
    }
    const auto new_owner = cluster->owner_of(key);
    REQUIRE(new_owner);
    CHECK(*new_owner != owner);
    check_recovery(*cluster);
}

TEST_CASE("a leader is cut off from the voters but not from some nodes") {
    // Guards against answering a renewal without a quorum confirmation after its arrival. A leader
    // loses contact with the other voters while nodes on its side keep renewing: they would serve
    // under leases of a deposed leader.
    auto cluster = make_ready_cluster();
    const std::size_t leader = *cluster->leader();
    for (std::size_t voter = 0; voter < 3; ++voter) {
        if (voter != leader) {
            cluster->block_link(leader, voter);
            cluster->block_link(voter, leader);
        }
    }
    for (int i = 0; i < 60; ++i) {
        cluster->submit(3, static_cast<unsigned int>(i % 12),
                        simulated_cluster::request_kind::once);
        cluster->run(50ms);
    }
    const auto now = cluster->leader();
    REQUIRE(now);
    CHECK(cluster->control(leader).established() == false);
    check_recovery(*cluster);
}

TEST_CASE("a control instance is cut off for a long time and returns") {
    // Guards against an old table coming back. A voter misses a hundred changes and snapshots, then
    // the network heals: its stale log must not win an election, and its state must not reach
    // nodes.
    auto cluster = make_ready_cluster();
    const std::size_t isolated = (*cluster->leader() + 1) % 3;
    for (std::size_t i = 0; i < cluster->hosts(); ++i) {
        cluster->block_link(isolated, i);
        cluster->block_link(i, isolated);
    }
    for (int i = 0; i < 100; ++i) {
        cluster->change_table(*cluster->leader(), cluster->accepted_version(),
                              "change-" + std::to_string(i), 1 + i % 3);
        cluster->run(60ms);
    }
    const std::uint64_t accepted = cluster->accepted_version();
    CHECK(accepted > 90);
    cluster->heal_network();
    cluster->run(3s);
    CHECK(cluster->control(isolated).state().table_version() >= accepted);
    check_recovery(*cluster);
}

TEST_CASE("a process restarts after hundreds of changes were made while it was away") {
    // Guards against requesting log entries that no voter holds any more. A voter's host is down
    // while changes are made and compacted; the voter or node would never catch up.
    auto cluster = make_ready_cluster();
    const std::size_t isolated = (*cluster->leader() + 1) % 3;
    cluster->crash(isolated);
    for (int i = 0; i < 300; ++i) {
        cluster->change_table(*cluster->leader(), cluster->accepted_version(),
                              "change-" + std::to_string(i), 1 + i % 3);
        cluster->run(30ms);
    }
    cluster->restart(isolated);
    cluster->run(3s);
    CHECK(cluster->control(isolated).state().table_version() == cluster->accepted_version());
    CHECK(cluster->node(isolated).lease().table_version() == cluster->accepted_version());
    check_recovery(*cluster);
}

TEST_CASE("a node is paused with a request on its way to the target") {
    // Guards against not checking the lease again directly before the write. The process is paused
    // between the decision to call the target and the write until its lease has expired; the
    // request would be written after another server took over the key.
    auto cluster = make_ready_cluster();
    const auto [key, owner] = key_not_on_leader(*cluster);
    const std::size_t number = cluster->submit(owner, key, simulated_cluster::request_kind::once);
    cluster->pause(owner);
    cluster->run(2500ms);
    cluster->resume(owner);
    cluster->run(500ms);
    CHECK(cluster->runs_of(number) <= 1);
    check_recovery(*cluster);
}

TEST_CASE("a frozen target returns as if nothing had happened") {
    // Guards against running an idempotency key again while the outcome of its first run is
    // unknown. A target freezes with a request in progress, its keys are reassigned, the caller
    // resends, and the target resumes and finishes: a payment would run twice.
    auto cluster = make_ready_cluster();
    const auto [key, owner] = key_not_on_leader(*cluster);
    const std::size_t number =
        cluster->submit(next_host(owner), key, simulated_cluster::request_kind::once);
    cluster->run(4ms);
    cluster->freeze_target(owner);
    cluster->run(3s);
    cluster->resend(number, next_host(owner));
    cluster->run(1s);
    cluster->thaw_target(owner);
    cluster->run(1s);
    CHECK(cluster->runs_of(number) <= 1);
    check_recovery(*cluster);
}

TEST_CASE("a connection is silent for good while new ones work") {
    // Guards against relying on an open connection instead of retrying over a new one. Data on the
    // open connection is lost in both directions while new connections work; the caller would wait
    // until its deadline although owner and network are healthy.
    auto cluster = make_ready_cluster();
    const auto [key, owner] = key_not_on_leader(*cluster);
    const std::size_t asked = next_host(owner);
    cluster->silence_connection(asked, owner);
    const std::size_t read = cluster->submit(asked, key, simulated_cluster::request_kind::read);
    const std::size_t once = cluster->submit(asked, key, simulated_cluster::request_kind::once);
    cluster->run(700ms);
    REQUIRE(cluster->answer(read));
    REQUIRE(cluster->answer(once));
    CHECK(cluster->answer(read)->result == outcome::ran);
    CHECK(cluster->answer(once)->result == outcome::ran);
    CHECK(cluster->runs_of(once) == 1);
    check_recovery(*cluster);
}

TEST_CASE("an owner is lost after a payment: the resend gets the first answer") {
    // Guards against a new owner without the idempotency key. The payment runs, its owner's
    // instance is lost, and the caller resends to another node: the payment would run twice.
    auto cluster = make_ready_cluster();
    cluster->run(1s);
    const auto [key, owner] = key_not_on_leader(*cluster);
    const std::size_t asked = next_host(owner);
    const std::size_t number = cluster->submit(asked, key, simulated_cluster::request_kind::once);
    cluster->run(200ms);
    REQUIRE(cluster->answer(number));
    cluster->crash(owner);
    cluster->run(2s);
    cluster->resend(number, asked);
    cluster->run(500ms);
    const std::size_t again = cluster->submissions() - 1;
    REQUIRE(cluster->answer(again));
    CHECK(cluster->answer(again)->result == outcome::ran);
    CHECK(*cluster->answer(again)->body == *cluster->answer(number)->body);
    CHECK(cluster->runs_of(number) == 1);
    check_recovery(*cluster);
}

TEST_CASE("a second instance is lost right after the first was repaired") {
    // Guards against counting keys as replicated before the next standby holds them. The owner is
    // lost, its successor is lost just after it took over, and the caller resends: the request
    // would run twice.
    auto cluster = make_ready_cluster();
    cluster->run(1s);
    const auto [key, owner] = key_not_on_leader(*cluster);
    const std::size_t asked = *cluster->leader();
    const std::size_t number = cluster->submit(asked, key, simulated_cluster::request_kind::once);
    cluster->run(200ms);
    cluster->crash(owner);
    std::optional<std::size_t> next;
    for (int i = 0; i < 300 && !next; ++i) {
        cluster->run(10ms);
        next = cluster->owner_of(key);
    }
    REQUIRE(next);
    if (*next != asked) {
        cluster->crash(*next);
    }
    cluster->run(3s);
    cluster->resend(number, asked);
    cluster->run(500ms);
    CHECK(cluster->runs_of(number) == 1);
    check_recovery(*cluster);
}

TEST_CASE("a voter and its disk are lost, replaced, and another voter is lost after") {
    // Guards against counting a new voter before it has caught up. A voter is lost permanently and
    // replaced, and right after that the leader is lost: an accepted table would be gone.
    auto cluster = make_ready_cluster();
    for (int i = 0; i < 20; ++i) {
        cluster->change_table(*cluster->leader(), cluster->accepted_version(),
                              "change-" + std::to_string(i), 2);
        cluster->run(60ms);
    }
    cluster->replace_voter((*cluster->leader() + 1) % 3);
    cluster->run(2s);
    const std::uint64_t accepted = cluster->accepted_version();
    cluster->crash(*cluster->leader());
    cluster->run(3s);
    REQUIRE(cluster->leader());
    CHECK(cluster->control(*cluster->leader()).state().table_version() == accepted);
    check_recovery(*cluster);
}

TEST_CASE("the leader's disk fails") {
    // Guards against acknowledging entries that were not synced. Syncs start to fail on the leader;
    // an accepted change would be lost in a power failure.
    auto cluster = make_ready_cluster();
    const std::size_t leader = *cluster->leader();
    cluster->break_disk(leader, fake_storage::fault::sync_fails);
    cluster->change_table(leader, cluster->accepted_version(), "on a broken disk", 3);
    cluster->run(3s);
    REQUIRE(cluster->leader());
    CHECK(*cluster->leader() != leader);
    CHECK(cluster->control(leader).replication().current_role() == replica::role::failed);
    check_recovery(*cluster);
}

TEST_CASE("a planned stop: nothing fails, and new work stops within two seconds") {
    // Guards against cancelling requests in flight, or refusing requests that could be queued, at
    // each restart. A stop is announced while every node sends requests.
    auto cluster = make_ready_cluster();
    const auto [key, owner] = key_not_on_leader(*cluster);
    std::vector<std::size_t> requests;
    for (int i = 0; i < 100; ++i) {
        if (i == 20) {
            cluster->announce_stop(owner);
        }
        for (std::size_t node = 0; node < nodes; ++node) {
            requests.push_back(cluster->submit(node, static_cast<unsigned int>(i % 12),
                                               simulated_cluster::request_kind::once));
        }
        cluster->run(20ms);
    }
    cluster->run(2s);
    CHECK_FALSE(cluster->node(owner).owner().owned_ranges());
    for (const std::size_t number : requests) {
        REQUIRE(cluster->answer(number));
        CHECK(cluster->answer(number)->result == outcome::ran);
        CHECK(cluster->runs_of(number) == 1);
    }
    check_recovery(*cluster);
}

TEST_CASE("nothing moves without a cause") {
    // Guards against moves for small differences of load: keys must not change owners while nothing
    // happens but requests.
    auto cluster = make_ready_cluster();
    cluster->run(5s);
    const std::size_t leader = *cluster->leader();
    std::uint64_t before = 0;
    const auto tokens = [&] {
        std::uint64_t sum = 0;
        for (const auto &[service, ranges] : cluster->control(leader).state().ranges()) {
            for (const range_record &range : ranges) {
                sum += range.token;
            }
        }
        return sum;
    };
    before = tokens();
    for (int i = 0; i < 200; ++i) {
        cluster->submit(static_cast<std::size_t>(i) % nodes, static_cast<unsigned int>(i * 7 % 60),
                        simulated_cluster::request_kind::read);
        cluster->run(100ms);
    }
    CHECK(tokens() == before);
    check_recovery(*cluster);
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
    simulated_cluster cluster({.seed = 376342666});
    cluster.run(1200ms);
    cluster.change_table(cluster.leader().value_or(0), 0, "change-first", 1);
    cluster.run(2500ms);
    for (unsigned int i = 0; i < 6; ++i) {
        cluster.submit((237 + i) % 5, (277 + i / 2) % 12, simulated_cluster::request_kind::once);
    }
    cluster.run(1041ms);
    cluster.crash(2);
    cluster.run(801ms);
    for (unsigned int i = 0; i < 6; ++i) {
        cluster.submit((37 + i) % 5, (574 + i / 2) % 12, simulated_cluster::request_kind::once);
    }
    check_recovery(cluster);
}

TEST_CASE("a node is cut off from the leader alone") {
    // Guards against renewals that reach the leader only directly. Some nodes lost the connection
    // to the leader while they reached other voters, and these the leader. The leases expired and
    // the keys were reassigned: a third of the lookups was refused for six seconds, and caches were
    // cold afterwards.
    auto cluster = make_ready_cluster();
    const auto [key, owner] = key_not_on_leader(*cluster);
    const std::size_t leader = *cluster->leader();
    cluster->block_link(owner, leader);
    cluster->block_link(leader, owner);
    for (int i = 0; i < 50; ++i) {
        cluster->run(100ms);
        CHECK(cluster->owner_of(key) == owner);
    }
    CHECK(cluster->leader() == leader);
    check_recovery(*cluster);
}

TEST_CASE("a voter whose disk was full for a while takes part again") {
    // Guards against a voter that stays failed after its disk has space again. The disk of one of
    // five voters was full for 2.4 s ("voter_role failed, can't write log-00000000000000000000: No
    // space left on device"), and its log refused every write after the first failed one. When two
    // other voters were lost 6.2 s later, only two of five could vote: there was no leader, and
    // acknowledged routes reached no node.
    auto cluster = make_ready_cluster({.voters = 5});
    const std::size_t full_disk = next_host(*cluster->leader());
    cluster->break_disk(full_disk, fake_storage::fault::full);
    cluster->change_table(*cluster->leader(), cluster->accepted_version(), "while one disk is full",
                          2);
    cluster->run(2400ms);
    REQUIRE(cluster->control(full_disk).replication().current_role() == replica::role::failed);
    cluster->break_disk(full_disk, fake_storage::fault::none);
    cluster->run(4s);
    CHECK(cluster->control(full_disk).replication().current_role() != replica::role::failed);
    for (std::size_t lost = 0, left = 2; left > 0; ++lost) {
        if (lost != full_disk) {
            cluster->crash(lost);
            --left;
        }
    }
    cluster->run(4s);
    REQUIRE(cluster->leader());
    const std::uint64_t before = cluster->accepted_version();
    cluster->change_table(*cluster->leader(), before, "with two voters lost", 3);
    cluster->run(1s);
    CHECK(cluster->accepted_version() > before);
    check_recovery(*cluster);
}

// Guards against leases that expire because voters wait for their disks.
TEST_CASE("no key loses its owner while the disks of all voters stall") {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        CAPTURE(seed);
        const auto cluster = make_ready_cluster({.seed = seed});
        const auto max_commit_index = [&] {
            std::uint64_t most = 0;
            for (std::size_t voter = 0; voter < 3; ++voter) {
                most = std::max(most, cluster->control(voter).replication().commit_index());
            }
            return most;
        };
        cluster->run(5s);
        for (std::size_t voter = 0; voter < 3; ++voter) {
            cluster->set_sync_time(voter, 30s);
        }
        const std::uint64_t before = max_commit_index();
        for (int i = 0; i < 100; ++i) {
            const std::size_t sent =
                cluster->submit(static_cast<std::size_t>(i) % 5, static_cast<unsigned int>(i) % 12,
                                simulated_cluster::request_kind::once);
            cluster->run(200ms);
            REQUIRE(cluster->answer(sent));
            CHECK(cluster->answer(sent)->result == outcome::ran);
        }
        CHECK(max_commit_index() == before);
        check_recovery(*cluster);
    }
}

// Guards against a candidate with a fast disk that restarts the election before slower voters can
// answer.
TEST_CASE("a leader is elected though the disks of others are slow") {
    for (std::uint64_t seed = 1; seed <= 12; ++seed) {
        CAPTURE(seed);
        const auto cluster = make_ready_cluster({.seed = seed});
        const std::size_t lost = cluster->leader().value();
        for (std::size_t voter = 0; voter < 3; ++voter) {
            const bool fast = voter == (lost + 1 + seed % 2) % 3;
            cluster->set_sync_time(voter, fast ? 1ms : 1200ms);
        }
        cluster->crash(lost);
        cluster->run(15s);
        CHECK(cluster->leader());
        cluster->restart(lost);
        check_recovery(*cluster);
    }
}
