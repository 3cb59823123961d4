#pragma once

#include "peppertack/coordination/cold_start.hpp"
#include "peppertack/coordination/crash_reporter.hpp"
#include "peppertack/coordination/ended_incarnations.hpp"
#include "peppertack/coordination/hold_call_scheduler.hpp"
#include "peppertack/coordination/hold_manager.hpp"
#include "peppertack/coordination/key_load_counter.hpp"
#include "peppertack/coordination/lease_client.hpp"
#include "peppertack/coordination/target_incarnation.hpp"
#include "peppertack/coordination/work_queue.hpp"
#include "peppertack/protocol/hop_header.hpp"
#include "peppertack/transport/traffic/traffic_options.hpp"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace peppertack {

/// What a target says of itself in a heartbeat.
struct target_heartbeat {
    std::string name;
    std::optional<std::uint64_t>
        born;            ///< tells lives under one name apart; see `target_incarnation`
    std::string address; ///< IP:port at which it takes requests
    std::string service;
    std::uint32_t slots = 1;
    std::uint64_t sequence = 0; ///< grows with each heartbeat of one life
    bool draining = false;      ///< about to stop
    duration cold_left{};       ///< it is slow for so much longer
    hold_report report;

    target_incarnation life() const { return {name, born}; }
    friend bool operator==(const target_heartbeat &, const target_heartbeat &) = default;
};

/// What a target says of itself when it is asked for its health.
struct target_health {
    std::string name;                  ///< empty without an answer
    std::optional<duration> cold_left; ///< how long it stays cold; nullopt if not stated
};

/// Why a target's call says nothing of the target as it is now.
enum class call_fault : std::uint8_t {
    none,
    born_missing,     ///< it names no life, and lives of that target are told apart
    ended_life,       ///< of a life that is known to have ended: it was held up on its way
    earlier_life,     ///< of a life that began before the one in force
    unknown_service,  ///< no table names its service
    unsure_of_service ///< nor does this one, which may have been replaced
};

/// A node's view of the system and of the target beside it: the lease, what the target holds, which
/// requests it may be given. Everything that traffic decides on is read here. Not thread safe: it
/// belongs to the traffic thread.
class node_agent {
public:
    using sender = std::function<void(const outgoing &)>;
    /// Asks the target at an address for its health; the answer goes to the callback.
    using health_probe =
        std::function<void(const std::string &address, std::function<void(const target_health &)>)>;

    node_agent(const traffic_options &options, sender send, health_probe probe);

    void tick(moment at);
    void receive(const node_address &from, const message &body, moment at);

    using heartbeat_answer = std::function<void(const hold_grant &)>;
    /// Takes a heartbeat of the local target; the answer acknowledges it. From one that says
    /// `draining` on, nothing but keys that it still holds is sent to the target. The answer waits
    /// a moment for the lease if this node has none yet: without it the keys of a target whose node
    /// was restarted would stay unserved until the next heartbeat.
    void heartbeat(const target_heartbeat &beat, moment at, heartbeat_answer answer);
    /// Decides on a call of a target once the routes are known here, or after a while without them.
    /// Refused at once, a target would call again only an interval later: after a loss of power
    /// that was 0.9 s in which its node knew everything but its target.
    void when_routes_known(instant now, std::function<void()> decide);
    /// Keeps a heartbeat that had to be answered before a table was known here, and takes the
    /// target up when one comes. Its next heartbeat is an interval away: after a loss of power the
    /// tables came 0.1 s after the answers, and 137 of 200 targets were registered 0.9 s later than
    /// those whose node had been told in time. The answer acknowledged nothing.
    void keep_unjudged(const target_heartbeat &beat, moment at);
    /// This node is about to end. Work that others can do goes to them from now on.
    void begin_stop(moment at);
    /// What is wrong with a call of this life; what is, must change nothing. The clock of a target
    /// may have been set back between two lives: the one that began earlier by it is taken on once
    /// the one in force is known to have ended, or has been silent for as long as it may hold keys.
    call_fault judge(const target_incarnation &life, instant now) const;
    /// The same for a heartbeat. A service that no table names would end the registration of a
    /// target at work under that name while it still holds its keys.
    call_fault judge(const target_heartbeat &beat, instant now) const;
    /// The target is leaving and says nothing more. Yields what is wrong with the call, if
    /// anything.
    call_fault target_leaves(const target_incarnation &life, moment at);
    /// The same for a call that names no life: the one in force is meant.
    void target_leaves(const std::string &name, moment at);
    /// Whether the target has said that it leaves.
    bool target_leaving() const { return m_draining_since != instant{}; }
    /// The target's address refused a connection, in an attempt that was begun then: the process
    /// that listened there before has ended.
    void target_refused(instant attempt_begun, moment at);
    /// No connection to the target is open. The process at its address may have been started again,
    /// so until it is asked it counts as cold.
    void target_disconnected(instant now);
    /// Whether the target is cold, or may be.
    bool target_cold(instant now) const { return m_target && m_cold.cold(now); }

    // ---- the local target ----
    /// Registration of the local target; zero while it has none, also where the node still waits
    /// for the end of the registration of the target before it.
    target_number number() const;
    /// Why a request that was sent to that registration isn't meant for the local target; nothing
    /// if it is.
    std::optional<error_kind> misdirected(target_number sent_to) const;
    bool has_target() const { return m_target.has_value(); }
    /// Precondition: `has_target()`.
    const target_heartbeat &target() const { return *m_target; }
    /// Why the target can't be given a request now; nothing if it can. `moving` and `no_owner` pass
    /// by themselves soon. Never a fault of the caller: the sender decided by its own routes, and
    /// where they differ from those here it has to look again.
    std::optional<error_kind> refusal(const hop_request &request, instant now) const;
    work_queue &queue() { return m_queue; }
    const work_queue &queue() const { return m_queue; }
    target_load load() const;
    /// The target, in a life of that incarnation, has answered a request that it ran.
    void run_answered(std::uint64_t fingerprint, std::uint64_t life, instant now) {
        m_crashes.note_answered(fingerprint, life, m_lease.suspects(), now);
    }
    /// What the target, in a life of that incarnation, says of itself with an answer: the requests
    /// a second that it takes, nothing for any number; precondition: above zero.
    void target_names_limit(std::optional<double> per_second, std::uint64_t life, instant now);
    /// The same: it is about to stop. It counts until another life of it begins.
    void target_says_leaving(std::uint64_t life, moment at);
    /// It had begun to run a request and gave no whole answer.
    void run_unanswered(std::uint64_t fingerprint, std::uint64_t life, instant now) {
        m_crashes.note_unanswered(fingerprint, life, now);
    }
    void count_request(std::uint32_t key) { m_key_loads.count(key); }

    // ---- keys that the target takes by calls ----
    /// Calls to make now. Where there are any there is a target, to which they go.
    std::vector<hold_call> due_hold_calls(instant now);
    /// As in `hold_call_scheduler`.
    std::vector<std::uint64_t> overdue_hold_calls(instant now) const {
        return m_caller.overdue(now);
    }
    bool waits_for_hold_call(std::uint64_t id) const { return m_caller.is_in_flight(id); }
    std::optional<duration> hold_call_written(std::uint64_t id, instant now) {
        return m_caller.write(id, m_lease, now);
    }
    void hold_call_ended(std::uint64_t id, const hold_call_end &how, instant now);
    /// The target ran no request for a key since it does not hold it. Yields whether it is going to
    /// be granted the key by a call.
    bool key_refused(std::uint32_t key, instant now);

    // ---- the system ----
    const lease_client &lease() const { return m_lease; }
    const route_index &routes() const { return m_index; }
    bool ready() const { return m_lease.routes().version != 0; }
    /// Targets of a service that take new work: none in evacuated failure domains.
    const std::vector<const target_route *> &serving(const std::string &service) const;
    /// Whether no target of a service may get requests, since all failure domains with targets of
    /// it are evacuated.
    bool all_evacuated(const std::string &service) const;
    /// Whether targets in that failure domain get no request any more, not even for keys that have
    /// not moved yet.
    bool evacuation_in_force(const std::string &domain, instant now) const;
    /// Called when routes, map or target change.
    void set_on_change(std::function<void()> on_change) { m_on_change = std::move(on_change); }
    /// Called with its address when the target was replaced or is gone.
    void set_on_target_gone(std::function<void(const std::string &)> on_gone) {
        m_on_target_gone = std::move(on_gone);
    }

private:
    /// A call that waits for the routes.
    struct waiting_call {
        instant until{};
        std::function<void()> decide;
    };

    void decide_waiting(instant now, bool all);
    void take_unjudged(instant now);
    void adopt(const target_heartbeat &beat, moment at);
    void leave(moment at);
    bool lives_told_apart(const std::string &name) const;
    void answer_heartbeat_if_due(instant now);
    void answer_heartbeat(instant now);
    bool accept_heartbeat(const target_heartbeat &beat, moment at);
    void check_identity(const target_heartbeat &beat);
    const target_route *registered_before(const std::string &name) const;
    void end_inherited_holds(const std::string &name);
    void look_for_target();
    void note_time(moment at);
    void note_start(instant now);
    void assume_target(const std::string &name, moment at);
    void note_farewell(const target_incarnation &life, instant now);
    void drop_target(const char *why, bool ended, moment at);
    void drop_for_successor(const char *why, moment at);
    std::optional<rate_limit::bucket> cold_bucket() const;
    void update_cold_limit(instant now);
    void ask_whether_cold(instant now);
    void announce(moment at);
    void follow_evacuations(instant now);
    void index_targets();
    void follow(const lease_client::change &changed, instant now);
    void fill_report(renew_request &request, instant now);
    std::uint32_t measured_capacity();
    bool keyed() const;
    /// How the local target is handed its keys; nothing if it takes none.
    std::optional<hold_delivery> delivery() const;
    void tell_delivery(hold_delivery way);
    hold_manager::key_state state_of(std::uint32_t key, instant now) const;
    /// When the last hold given has ended for sure.
    instant may_hold_until() const;

    const traffic_options &m_options;
    sender m_send;
    health_probe m_probe;
    lease_client m_lease;
    hold_manager m_holds;
    hold_call_scheduler m_caller;
    work_queue m_queue;
    cold_start_tracker m_cold; ///< of the target
    instant m_cold_asked{};    ///< when the target was last asked whether it is cold
    instant m_last_tick{};
    moment m_last_told; ///< latest time of a tick or heartbeat: answers of probes bring none
    crash_reporter m_crashes;
    route_index m_index;
    std::function<void()> m_on_change;
    std::function<void(const std::string &)> m_on_target_gone;
    std::optional<target_heartbeat> m_target;
    instant m_beat_at{};
    instant m_draining_since{}; ///< zero while the target is not leaving
    bool m_left = false;        ///< it says nothing more
    ended_incarnations m_ended;
    instant m_found_at{};  ///< when the life of the target was first heard of
    instant m_probed_at{}; ///< when a name was last checked
    std::string m_probing; ///< name that is being checked
    /// Holds granted by an earlier process of this node may run until then; zero: not started yet.
    instant m_inherited_until{};
    /// The lease of a target that is gone is given up then; zero: there is none such.
    instant m_lease_kept_until{};
    bool m_looked = false;     ///< for a target that was here before this process
    bool m_assumed = false;    ///< known from the map, and its heartbeat is not overdue
    bool m_life_known = false; ///< by a heartbeat; otherwise the target is known from the map
    std::unordered_map<std::string, std::vector<const target_route *>> m_serving; ///< by service
    std::set<std::string> m_evacuated_services;    ///< with targets in evacuated domains only
    std::map<std::string, instant> m_evacuated_at; ///< by failure domain: when it became known
    bool m_evacuations_known = false;
    key_load_counter m_key_loads;
    instant m_loads_at{};
    struct unjudged_heartbeat {
        target_heartbeat beat;
        moment at; ///< when it came
    };
    std::vector<waiting_call> m_waiting_calls;
    std::optional<unjudged_heartbeat> m_unjudged;
    heartbeat_answer m_unanswered;                ///< of a heartbeat that waits for the lease
    instant m_heartbeat_at{};                     ///< when that one came
    std::optional<hold_delivery> m_delivery_told; ///< in the log
    instant m_limit_told{};                       ///< when the log was last told of a limit
    bool m_stopping = false;
};

} // namespace peppertack
