#pragma once

namespace peppertack {

/// Deliberate defects that tests enable, one at a time, to verify that the test oracle detects
/// them. Without PEPPERTACK_PLANTED_DEFECTS every member is a constant `false` and the code
/// compiles away.
struct planted_defects {
#ifdef PEPPERTACK_PLANTED_DEFECTS
    bool lease_from_receipt = false;
    bool no_leader_wait = false;
    bool resend_unknown = false;
    bool drop_handover_keys = false;
    bool skip_standby_ack = false;
    bool unconfirmed_leader = false;
    bool ignore_lease_before_write = false;
    bool forget_vote = false;
    bool ignore_tombstone = false;
    bool skip_sync = false;
    bool early_release = false;
    bool rerun_forgotten = false;
    bool forget_late_grant = false;
    bool hold_from_decision = false;
    bool release_timeout_frees = false;
    bool believe_any_answer = false;
    bool report_crash_once = false;
    bool ignore_answered = false;
    bool ignore_suspects = false;
    bool vote_before_sync = false;
    bool own_vote_before_sync = false;
    bool acknowledge_before_sync = false;
    bool commit_before_sync = false;
    bool acknowledge_evacuation_early = false;
    bool keep_first_evacuations = false;
    bool keep_evacuated_ranges = false;
#else
    static constexpr bool lease_from_receipt = false;
    static constexpr bool no_leader_wait = false;
    static constexpr bool resend_unknown = false;
    static constexpr bool drop_handover_keys = false;
    static constexpr bool skip_standby_ack = false;
    static constexpr bool unconfirmed_leader = false;
    static constexpr bool ignore_lease_before_write = false;
    static constexpr bool forget_vote = false;
    static constexpr bool ignore_tombstone = false;
    static constexpr bool skip_sync = false;
    static constexpr bool early_release = false;
    static constexpr bool rerun_forgotten = false;
    static constexpr bool forget_late_grant = false;
    static constexpr bool hold_from_decision = false;
    static constexpr bool release_timeout_frees = false;
    static constexpr bool believe_any_answer = false;
    static constexpr bool report_crash_once = false;
    static constexpr bool ignore_answered = false;
    static constexpr bool ignore_suspects = false;
    static constexpr bool vote_before_sync = false;
    static constexpr bool own_vote_before_sync = false;
    static constexpr bool acknowledge_before_sync = false;
    static constexpr bool commit_before_sync = false;
    static constexpr bool acknowledge_evacuation_early = false;
    static constexpr bool keep_first_evacuations = false;
    static constexpr bool keep_evacuated_ranges = false;
#endif
};

#ifdef PEPPERTACK_PLANTED_DEFECTS
extern planted_defects g_defects;
#else
inline constexpr planted_defects g_defects{};
#endif

} // namespace peppertack
