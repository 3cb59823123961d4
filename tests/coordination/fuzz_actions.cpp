#include "fuzz_actions.hpp"

#include <ostream>

namespace peppertack::testing {

namespace {

constexpr std::array<const char *, action_kinds> names{"wait",          "read",
                                                       "once",          "once_without_key",
                                                       "resend",        "change_table",
                                                       "race_tables",   "resend_change",
                                                       "announce_stop", "begin_stop",
                                                       "crash",         "restart",
                                                       "pause",         "resume",
                                                       "cut",           "isolate",
                                                       "heal",          "silence",
                                                       "losses",        "break_disk",
                                                       "clock_rate",    "crash_target",
                                                       "start_target",  "freeze_target",
                                                       "thaw_target",   "replace_voter",
                                                       "burst",         "slow_links",
                                                       "split",         "pause_leader",
                                                       "mend_disk",     "slow_disk",
                                                       "evacuate",      "withdraw_evacuation"};

/// Kinds that `any_actions` draws from; the others have generators of their own.
constexpr std::size_t common_kinds = static_cast<std::size_t>(action_kind::slow_disk) + 1;

/// Relative frequency of each kind. Requests and waiting dominate, so that faults hit a cluster
/// under load.
constexpr std::array<unsigned int, common_kinds> weights{14, 6, 10, 3, 6, 3, 2, 2, 2, 1, 4,
                                                         4,  3, 3,  3, 2, 3, 3, 2, 1, 1, 2,
                                                         2,  1, 1,  1, 8, 5, 3, 3, 3, 3};

void burst(simulated_cluster &cluster, unsigned int key, unsigned int node) {
    constexpr unsigned int requests = 6;
    for (unsigned int i = 0; i < requests; ++i) {
        cluster.submit((node + i) % 5, (key + i / 2) % 12, simulated_cluster::request_kind::once);
    }
    cluster.resend(cluster.submissions() - 1 - key % requests, (node + 1) % 5);
}

/// Partitions one voter from the others; `sides` assigns every other node to a side.
void split(simulated_cluster &cluster, std::size_t voter, unsigned int sides) {
    const auto side = [&](std::size_t host) {
        return host < 3 ? host == voter : ((sides >> host) & 1U) != 0;
    };
    for (std::size_t a = 0; a < cluster.hosts(); ++a) {
        for (std::size_t b = 0; b < cluster.hosts(); ++b) {
            if (side(a) != side(b)) {
                cluster.block_link(a, b);
            }
        }
    }
}

void change(simulated_cluster &cluster, unsigned int voter, unsigned int number,
            std::uint64_t base) {
    cluster.change_table(voter, base, "change-" + std::to_string(number), 1 + number % 5);
}

} // namespace

std::ostream &operator<<(std::ostream &out, const action &value) {
    return out << "{" << names[static_cast<std::size_t>(value.kind)] << " " << value.a << " "
               << value.b << "}";
}

void perform(simulated_cluster &cluster, const action &value) {
    constexpr std::size_t nodes = 5;
    constexpr std::size_t voters = 3;
    const std::size_t node = value.a % nodes;
    const std::size_t other = value.b % nodes;
    const std::uint64_t accepted = cluster.accepted_version();
    const auto leading = static_cast<unsigned int>(cluster.leader().value_or(0));
    switch (value.kind) {
    case action_kind::wait:
        cluster.run(std::chrono::milliseconds(1 + value.a % 40 * (value.b % 3 == 0 ? 40 : 4)));
        break;
    case action_kind::read:
        cluster.submit(node, value.b % 12, simulated_cluster::request_kind::read);
        break;
    case action_kind::once:
        cluster.submit(node, value.b % 12, simulated_cluster::request_kind::once);
        break;
    case action_kind::once_without_key:
        cluster.submit(node, value.b % 12, simulated_cluster::request_kind::once_without_key);
        break;
    case action_kind::resend:
        cluster.resend(value.b % 3 == 0 ? value.b : cluster.submissions() - 1 - value.b % 20, node);
        break;
    case action_kind::change_table: change(cluster, leading, value.b, accepted); break;
    case action_kind::race_tables:
        change(cluster, leading, value.b, accepted);
        change(cluster, leading, value.b + 1, accepted);
        break;
    case action_kind::resend_change: change(cluster, leading, value.b, value.a % 4); break;
    case action_kind::announce_stop: cluster.announce_stop(node); break;
    case action_kind::begin_stop: cluster.begin_stop(node); break;
    case action_kind::crash: cluster.crash(node); break;
    case action_kind::restart: cluster.restart(node); break;
    case action_kind::pause: cluster.pause(node); break;
    case action_kind::resume: cluster.resume(node); break;
    case action_kind::cut: cluster.block_link(node, other); break;
    case action_kind::isolate:
        for (std::size_t i = 0; i < cluster.hosts(); ++i) {
            cluster.block_link(node, i);
            cluster.block_link(i, node);
        }
        break;
    case action_kind::heal: cluster.heal_network(); break;
    case action_kind::silence: cluster.silence_connection(node, other); break;
    case action_kind::losses: cluster.set_message_faults(value.a % 30, value.b % 30); break;
    case action_kind::break_disk:
        cluster.break_disk(value.a % voters, value.b % 2 == 0 ? fake_storage::fault::full
                                                              : fake_storage::fault::sync_fails);
        break;
    case action_kind::clock_rate:
        cluster.set_clock_rate(node, 0.996 + 0.0008 * (value.b % 11));
        break;
    case action_kind::crash_target: cluster.crash_target(node); break;
    case action_kind::start_target: cluster.start_target(node); break;
    case action_kind::freeze_target: cluster.freeze_target(node); break;
    case action_kind::thaw_target: cluster.thaw_target(node); break;
    case action_kind::replace_voter: cluster.replace_voter(value.a % voters); break;
    case action_kind::burst: burst(cluster, value.b, value.a); break;
    case action_kind::slow_links:
        cluster.set_max_extra_delay(std::chrono::milliseconds(value.a % 4 * 300));
        break;
    case action_kind::split: split(cluster, leading, value.b); break;
    case action_kind::pause_leader: cluster.pause(leading); break;
    case action_kind::mend_disk:
        cluster.break_disk(value.a % voters, fake_storage::fault::none);
        break;
    case action_kind::slow_disk:
        cluster.set_sync_time(value.a % voters, std::chrono::milliseconds(1 + value.b % 4 * 300));
        break;
    case action_kind::evacuate: cluster.evacuate(leading, value.b, false); break;
    case action_kind::withdraw_evacuation: cluster.evacuate(leading, value.b, true); break;
    }
}

sequence_result run_sequence(std::uint64_t seed, const std::vector<action> &actions,
                             disk_mode disks) {
    simulated_cluster cluster({.seed = seed, .write_behind = disks == disk_mode::asynchronous});
    cluster.run(std::chrono::milliseconds(1200));
    if (const auto leading = cluster.leader()) {
        cluster.change_table(*leading, 0, "change-first", 1);
    }
    cluster.run(std::chrono::milliseconds(2500));
    for (const action &value : actions) {
        perform(cluster, value);
        if (!cluster.violations().empty()) {
            break;
        }
    }
    if (cluster.violations().empty()) {
        cluster.heal_and_check_progress();
    }
    return {cluster.violations(), cluster.steps(), cluster.answered(outcome::ran)};
}

/// Swarm testing (Groce et al., 2012): each sequence uses a random half of the kinds, so that some
/// sequences contain many actions that would be rare among all kinds.
rc::Gen<std::vector<action>> any_actions(disk_mode disks) {
    const std::size_t kinds = disks == disk_mode::asynchronous
                                  ? weights.size()
                                  : static_cast<std::size_t>(action_kind::slow_disk);
    return rc::gen::mapcat(rc::gen::arbitrary<std::uint32_t>(), [kinds](std::uint32_t mask) {
        std::vector<action_kind> drawn{action_kind::wait, action_kind::once};
        for (std::size_t i = 0; i < kinds; ++i) {
            if (((mask >> i) & 1U) != 0) {
                drawn.insert(drawn.end(), weights[i], static_cast<action_kind>(i));
            }
        }
        const rc::Gen<action> one = rc::gen::apply(
            [](action_kind kind, unsigned int a, unsigned int b) {
                return action{kind, a, b};
            },
            rc::gen::elementOf(drawn), rc::gen::inRange(0U, 1000U), rc::gen::inRange(0U, 1000U));
        return rc::gen::container<std::vector<action>>(one);
    });
}

rc::Gen<std::vector<action>> evacuation_actions() {
    using kind = action_kind;
    const rc::Gen<action> one = rc::gen::apply(
        [](action_kind drawn, unsigned int a, unsigned int b) {
            return action{drawn, a, b};
        },
        rc::gen::elementOf(std::vector<kind>{kind::wait,
                                             kind::wait,
                                             kind::wait,
                                             kind::once,
                                             kind::read,
                                             kind::evacuate,
                                             kind::evacuate,
                                             kind::evacuate,
                                             kind::withdraw_evacuation,
                                             kind::withdraw_evacuation,
                                             kind::crash,
                                             kind::restart,
                                             kind::restart,
                                             kind::isolate,
                                             kind::split,
                                             kind::heal,
                                             kind::heal,
                                             kind::pause_leader,
                                             kind::resume,
                                             kind::resume,
                                             kind::crash_target,
                                             kind::start_target,
                                             kind::losses,
                                             kind::replace_voter,
                                             kind::change_table}),
        rc::gen::inRange(0U, 1000U), rc::gen::inRange(0U, 1000U));
    return rc::gen::container<std::vector<action>>(one);
}

std::vector<action> evacuation_actions_of(std::uint64_t seed, int size) {
    return evacuation_actions()(rc::Random(seed), size).value();
}

rc::Gen<std::vector<action>> disk_actions() {
    using kind = action_kind;
    const rc::Gen<action> one = rc::gen::apply(
        [](action_kind drawn, unsigned int a, unsigned int b) {
            return action{drawn, a, b};
        },
        rc::gen::elementOf(std::vector<kind>{
            kind::wait,         kind::wait,      kind::wait,         kind::wait,    kind::once,
            kind::change_table, kind::slow_disk, kind::slow_disk,    kind::crash,   kind::crash,
            kind::restart,      kind::restart,   kind::restart,      kind::isolate, kind::split,
            kind::heal,         kind::heal,      kind::pause_leader, kind::resume,  kind::resume,
            kind::break_disk,   kind::mend_disk, kind::mend_disk}),
        rc::gen::inRange(0U, 1000U), rc::gen::inRange(0U, 1000U));
    return rc::gen::container<std::vector<action>>(one);
}

std::vector<action> disk_actions_of(std::uint64_t seed, int size) {
    return disk_actions()(rc::Random(seed), size).value();
}

std::vector<action> actions_of(std::uint64_t seed, int size, disk_mode disks) {
    return any_actions(disks)(rc::Random(seed), size).value();
}

} // namespace peppertack::testing
