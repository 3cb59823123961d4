#include "fake_storage.hpp"
#include "peppertack/coordination/durable_voter.hpp"

#include <doctest/doctest.h>

using namespace peppertack;
using namespace peppertack::testing;
using namespace std::chrono_literals;

namespace {

constexpr duration tick_interval = 10ms;
constexpr const char *node = "n:1";

/// A single-voter leader, and a node that renews the lease of its target every 200 ms.
class leader_with_node {
public:
    leader_with_node() {
        durable_voter::options settings;
        settings.control.replication.self = "a:1";
        settings.control.replication.initial.voters = {"a:1"};
        std::string reason;
        m_voter = durable_voter::make(
            settings, m_disk, [](const audit_record &) { return true; }, {m_now, 0}, reason);
        REQUIRE_MESSAGE(m_voter, reason);
        run(2s);
        core().submit({0, "operator", "edited",
                       change_table{"1", 0,
                                    "service,failure_domain,weight,max_in_flight,max_connections,"
                                    "max_queue\nkeys,zone-0,1,4,8,50\n"}},
                      {m_now, 0});
        run(1s);
        REQUIRE(m_number != no_target);
    }

    void run(duration time) {
        for (const instant until = m_now + time; m_now < until; m_now += tick_interval) {
            core().tick({m_now, 0});
            if (m_now >= m_renew_at) {
                renew();
            }
            take_answers();
        }
    }
    /// Blocks the leader for `time`, while the node keeps running.
    void stall(duration time) { m_now += time; }
    void lose_node() { m_renew_at = instant::max(); }
    bool registered() {
        const target_record *record = core().state().find_target(m_number);
        return record != nullptr && record->phase != target_phase::gone;
    }

private:
    control_core &core() { return m_voter->core(); }

    void renew() {
        m_renew_at = m_now + 200ms;
        renew_request request{.sequence = ++m_sequence,
                              .table_version = core().state().table_version(),
                              .has_target = true};
        request.target = {.number = m_number,
                          .name = "t",
                          .service = "keys",
                          .failure_domain = "zone-0",
                          .node_address = node,
                          .incarnation = 1,
                          .slots = 4,
                          .checks_tokens = true};
        core().receive(node, request, {m_now, 0});
    }

    void take_answers() {
        for (const outgoing &item : core().take_outgoing()) {
            if (const auto *reply = std::get_if<renew_reply>(&item.body)) {
                m_number = reply->number != no_target ? reply->number : m_number;
            }
        }
    }

    fake_storage m_disk;
    std::unique_ptr<durable_voter> m_voter;
    instant m_now{1000s};
    instant m_renew_at{};
    std::uint64_t m_sequence = 0;
    target_number m_number = no_target;
};

} // namespace

TEST_CASE("a leader processes pending renewals after a stall before it expires leases") {
    // Guards against nodes that never get ready with syncs of half a second. While the leader
    // waited for its disk, renewals queued up. Its first step afterwards expired the leases and
    // ended the registrations before it had read the queued renewals.
    leader_with_node cluster;
    cluster.stall(1500ms);
    cluster.run(100ms);
    CHECK(cluster.registered());
    cluster.run(2s);
    CHECK(cluster.registered());
}

TEST_CASE("a target lost during repeated stalls is removed although the stalls continue") {
    leader_with_node cluster;
    cluster.lose_node();
    for (int i = 0; i < 8; ++i) {
        cluster.stall(400ms);
        cluster.run(10ms);
    }
    cluster.run(10ms);
    CHECK_FALSE(cluster.registered());
}
