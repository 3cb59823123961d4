#pragma once

#include "simulated_cluster.hpp"

#include <rapidcheck.h>

#include <array>
#include <iosfwd>
#include <string>
#include <vector>

namespace peppertack::testing {

enum class action_kind : std::uint8_t {
    wait,
    read,
    once,
    once_without_key,
    resend,
    change_table,
    race_tables,
    resend_change,
    announce_stop,
    begin_stop,
    crash,
    restart,
    pause,
    resume,
    cut,
    isolate,
    heal,
    silence,
    losses,
    break_disk,
    clock_rate,
    crash_target,
    start_target,
    freeze_target,
    thaw_target,
    replace_voter,
    burst,
    slow_links,
    split,
    pause_leader,
    mend_disk,
    slow_disk,
    evacuate,
    withdraw_evacuation,
};

inline constexpr int action_kinds = static_cast<int>(action_kind::withdraw_evacuation) + 1;

/// One step of a sequence. `kind` determines the meaning of `a` and `b`.
struct action {
    action_kind kind = action_kind::wait;
    unsigned int a = 0;
    unsigned int b = 0;
};

std::ostream &operator<<(std::ostream &out, const action &value);

/// Executes one step.
void perform(simulated_cluster &cluster, const action &value);

/// Result of a sequence, which starts from a new cluster with a table in force and every key
/// served, executes all steps and then runs the final checks.
struct sequence_result {
    std::vector<std::string> violations;
    std::size_t steps = 0;
    std::size_t answered = 0;
};
/// How voters write to their disks in a sequence, and whether disks become slow.
enum class disk_mode : std::uint8_t {
    blocking,    ///< voters block until a write is done, which takes no time
    asynchronous ///< voters continue during a write
};
sequence_result run_sequence(std::uint64_t seed, const std::vector<action> &actions,
                             disk_mode disks = disk_mode::asynchronous);

rc::Gen<std::vector<action>> any_actions(disk_mode disks = disk_mode::asynchronous);
/// Mostly evacuations, their withdrawals and lost voters.
rc::Gen<std::vector<action>> evacuation_actions();
/// Mostly slow disks and lost voters, so that crashes coincide with writes in progress.
rc::Gen<std::vector<action>> disk_actions();
/// Generates the sequence of a seed; the same on every run.
std::vector<action> disk_actions_of(std::uint64_t seed, int size);
std::vector<action> evacuation_actions_of(std::uint64_t seed, int size);
std::vector<action> actions_of(std::uint64_t seed, int size,
                               disk_mode disks = disk_mode::asynchronous);

} // namespace peppertack::testing
