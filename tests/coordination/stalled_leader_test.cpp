#include "fake_storage.hpp"
#include "peppertack/coordination/durable_voter.hpp"

#include <doctest/doctest.h>

using namespace peppertack;
using namespace peppertack::testing;
using namespace std::chrono_literals;

namespace {

constexpr duration tick_interval = 10ms;
constexpr const char *node = "n:1";

/// A leader by itself, and a node that renews the lease of its target every 200 ms.
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
    /// Nothing is done here for that time; the node goes on.
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

TEST_CASE("a leader that was stalled hears its nodes before it ends their leases") {
    // Symptom: with syncs of half a second nodes were never ready. Sequence: the leader waited for
    // its disk; the renewals that came meanwhile waited too; its first step afterwards found the
    // leases over and ended the registrations. Cause: leases were ended before the renewals that
    // were there already had been read.
    leader_with_node one;
    one.stall(1500ms);
    one.run(100ms);
    CHECK(one.registered());
    one.run(2s);
    CHECK(one.registered());
}

TEST_CASE("a target that is lost during stalls is not waited for as long as they go on") {
    leader_with_node one;
    one.lose_node();
    for (int i = 0; i < 8; ++i) {
        one.stall(400ms);
        one.run(10ms);
    }
    one.run(10ms);
    CHECK_FALSE(one.registered());
}
