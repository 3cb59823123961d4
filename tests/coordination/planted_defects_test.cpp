#include "crash_fuzz.hpp"
#include "fuzz_actions.hpp"
#include "hold_fuzz.hpp"
#include "peppertack/coordination/planted_defects.hpp"

#include <doctest/doctest.h>
#include <functional>
#include <iostream>
#include <span>

using namespace peppertack;
using namespace peppertack::testing;

namespace {

struct defect {
    const char *name;
    bool planted_defects::*flag;
};

constexpr std::array<defect, 12> defects{{
    {"lease counted from the answer's receipt", &planted_defects::lease_from_receipt},
    {"new leader does not wait out leases", &planted_defects::no_leader_wait},
    {"unknown outcome sent again", &planted_defects::resend_unknown},
    {"remembered keys dropped in a handover", &planted_defects::drop_handover_keys},
    {"run before the standby holds the key", &planted_defects::skip_standby_ack},
    {"leases renewed without a quorum", &planted_defects::unconfirmed_leader},
    {"lease not looked at before the write", &planted_defects::ignore_lease_before_write},
    {"vote given twice in a term", &planted_defects::forget_vote},
    {"barred request run when it arrives late", &planted_defects::ignore_tombstone},
    {"log not synced", &planted_defects::skip_sync},
    {"range released with requests in flight", &planted_defects::early_release},
    {"resend run though its memory was lost", &planted_defects::rerun_forgotten},
}};

/// Defects of write-behind logs.
constexpr std::array<defect, 4> disk_defects{{
    {"vote given before it is on the disk", &planted_defects::vote_before_sync},
    {"term begun before the own vote is on the disk", &planted_defects::own_vote_before_sync},
    {"entries acknowledged before they are on the disk", &planted_defects::acknowledge_before_sync},
    {"leader counts itself before its disk", &planted_defects::commit_before_sync},
}};

/// Defects of granting and releasing keys by calls to targets.
constexpr std::array<defect, 4> hold_defects{{
    {"late grant forgotten after a release", &planted_defects::forget_late_grant},
    {"hold length from the decision instead of the write", &planted_defects::hold_from_decision},
    {"keys given on when a release gets no answer", &planted_defects::release_timeout_frees},
    {"a repeated answer taken for that of a release", &planted_defects::believe_any_answer},
}};

/// Defects of the quarantine of requests that crash targets.
constexpr std::array<defect, 2> crash_defects{{
    {"answers do not clear a request", &planted_defects::ignore_answered},
    {"nodes do not follow a quarantine", &planted_defects::ignore_suspects},
}};

constexpr std::array<defect, 1> report_defects{{
    {"end of a target told to one leader only", &planted_defects::report_crash_once},
}};

constexpr std::array<defect, 3> evacuation_defects{{
    {"evacuation acknowledged before it is committed",
     &planted_defects::acknowledge_evacuation_early},
    {"nodes follow the first evacuation only", &planted_defects::keep_first_evacuations},
    {"ranges stay in evacuated failure domains", &planted_defects::keep_evacuated_ranges},
}};

constexpr std::uint64_t max_sequences = 3000;
constexpr int sequence_size = 120;

/// Runs sequences of increasing seeds with each defect until one reports a violation.
void check_detected(std::span<const defect> planted_defects_list,
                    const std::function<std::string(std::uint64_t)> &run) {
    for (const defect &planted : planted_defects_list) {
        CAPTURE(planted.name);
        g_defects.*planted.flag = true;
        std::uint64_t seed = 1;
        std::string found;
        while (seed <= max_sequences && found.empty()) {
            found = run(seed);
            ++seed;
        }
        g_defects.*planted.flag = false;
        CHECK_FALSE(found.empty());
        std::cout << "planted: " << planted.name << ": "
                  << (found.empty() ? "NOT CAUGHT"
                                    : "seed " + std::to_string(seed - 1) + ", " + found)
                  << std::endl;
    }
}

} // namespace

TEST_CASE("the oracle notices every planted defect") {
    for (const defect &planted : defects) {
        CAPTURE(planted.name);
        g_defects.*planted.flag = true;
        std::uint64_t sequence = 1;
        sequence_result result;
        while (sequence <= max_sequences && result.violations.empty()) {
            result =
                run_sequence(sequence, actions_of(sequence, sequence_size, disk_mode::blocking),
                             disk_mode::blocking);
            ++sequence;
        }
        g_defects.*planted.flag = false;
        CHECK_FALSE(result.violations.empty());
        std::cout << "planted: " << planted.name << ": "
                  << (result.violations.empty() ? "NOT CAUGHT"
                                                : "sequence " + std::to_string(sequence - 1) +
                                                      ", " + result.violations.front())
                  << std::endl;
    }
}

TEST_CASE("the oracle notices every planted defect of writing behind") {
    check_detected(disk_defects, [](std::uint64_t seed) {
        const sequence_result result = run_sequence(seed, disk_actions_of(seed, sequence_size));
        return result.violations.empty() ? "" : result.violations.front();
    });
}

TEST_CASE("the oracle notices every planted defect of evacuations") {
    check_detected(evacuation_defects, [](std::uint64_t seed) {
        const sequence_result result =
            run_sequence(seed, evacuation_actions_of(seed, sequence_size));
        return result.violations.empty() ? "" : result.violations.front();
    });
}

TEST_CASE("the oracle notices every planted defect of calls of holds") {
    check_detected(hold_defects, run_hold_sequence);
}

TEST_CASE("the oracle notices every planted defect of quarantines") {
    check_detected(crash_defects, run_crash_sequence);
    check_detected(report_defects, run_cut_off_leader_sequence);
}
