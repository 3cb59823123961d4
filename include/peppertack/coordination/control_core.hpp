#pragma once

#include "peppertack/coordination/lease_registry.hpp"
#include "peppertack/coordination/load_tracker.hpp"
#include "peppertack/coordination/map_update_cache.hpp"
#include "peppertack/coordination/messages.hpp"
#include "peppertack/coordination/node_report.hpp"
#include "peppertack/coordination/placement.hpp"
#include "peppertack/coordination/replica.hpp"
#include "peppertack/coordination/routing_history.hpp"
#include "peppertack/coordination/voter_roster.hpp"
#include "peppertack/state/control_state.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace peppertack {

struct control_options {
    replica_options replication;
    lease_timing lease;
    placement_options placement;
    /// Failure domains of the deployment; empty: not known, so any name may be one.
    std::vector<std::string> failure_domains;
    duration placement_interval = std::chrono::milliseconds(50);
    duration balance_interval = std::chrono::seconds(1);
    /// Delay before the first placement of a service, so that its first targets can register.
    duration initial_placement_delay = std::chrono::milliseconds(500);
    duration key_retention = std::chrono::minutes(10);
    /// After this time a quarantined request may run once more, at the risk of one target crash, to
    /// find out whether it still crashes targets.
    duration quarantine = std::chrono::hours(24);
    /// A longer gap between two ticks counts as a stall of this voter (disk or process).
    duration stall_threshold = std::chrono::milliseconds(150);
    /// After a stall no lease expires for this long, so that queued renewals are processed first.
    duration expiry_delay_after_stall = std::chrono::milliseconds(300);
    std::uint64_t entries_per_snapshot = 10'000;
    std::size_t min_nodes_for_selective_push =
        200; ///< from this many nodes on, pushes go only to affected ones
    std::size_t max_push_items =
        256; ///< larger changes are delivered with renewal replies, spread over time
    std::size_t max_items_per_update = 512; ///< the rest follows with the next renewals
    std::size_t max_expirations_per_command =
        16; ///< so that the changes of one command fit into an update
    /// Encodes a map that many nodes are sent; null: whole maps are part of each message.
    map_update_cache::encoder encode_map;
    voter_roster::options roster;
};

/// Result of a command that an operator submitted.
struct submit_answer {
    std::uint64_t ticket = 0;
    error_kind error = error_kind::none;
    bool certain = true; ///< false: leadership was lost before commit; it may still take effect
    std::uint64_t version = 0;
    std::optional<change_answer> change;
};

/// The control plane of one voter: replicates decisions and, while it leads, makes them. Grants
/// leases, assigns every range one owner, runs planned stops and records the cause of each
/// decision. Deterministic. Not thread safe; used on the control thread only.
class control_core {
public:
    using audit_sink = std::function<bool(const audit_record &)>;

    /// Precondition: `log` outlives the object. `audit` is called for each decision as it is
    /// applied and may get the same record again after a restart. Returns null and sets `reason` if
    /// the log's snapshot can't be decoded.
    static std::unique_ptr<control_core> make(control_options options, durable_log &log,
                                              audit_sink audit, moment at, std::string &reason);

    void tick(moment at);
    void receive(const node_address &from, const message &body, moment at);
    /// Must be called after each write of a write-behind log, whether it succeeded or not.
    void note_written(moment at);

    /// Proposes a command. `take_answers` delivers the result under the returned ticket.
    std::uint64_t submit(command value, moment at);
    /// Starts a quorum round that confirms this voter as leader (a read barrier). `take_answers`
    /// delivers the result under the returned ticket, without an error once a quorum has confirmed.
    /// The state read in that same step contains every acknowledged command.
    std::uint64_t confirm_leadership(moment at);
    /// Whether a failure domain of this name exists, by the configuration or by its targets.
    bool knows_domain(const std::string &domain) const;
    /// Whether there are as many voters as the configured fault tolerance requires.
    bool enough_voters() const;
    /// Announces that this process is about to end, so that a spare voter can replace it at once.
    void announce_leaving(moment at);
    /// Replaces a voter; see `replica::replace_voter`.
    bool replace_voter(const node_address &learner, const std::optional<node_address> &replaces,
                       moment at);

    std::vector<outgoing> take_outgoing();
    std::vector<submit_answer> take_answers();

    /// Whether this voter leads and has applied all decisions of earlier terms.
    bool established() const { return m_established; }
    const control_state &state() const { return m_state; }
    const replica &replication() const { return *m_replica; }
    const std::map<node_address, node_report> &nodes() const { return m_nodes; }
    const lease_registry &leases() const { return m_leases; }
    /// Highest ratio of load share to weight share among a service's targets; 1 is perfect balance.
    /// Precondition: the service has ranges.
    double imbalance_of(const std::string &service) const;
    /// Number of ownership changes since this process started, without each range's first grant.
    std::uint64_t owner_changes(const std::string &service) const;

private:
    control_core(control_options options, durable_log &log, audit_sink audit, instant now);

    struct pending_renewal {
        std::uint64_t round = 0;
        node_address from;
        renew_request request;
    };
    void run_pending_work(moment at);
    void apply_roster_advice(moment at);
    void request_join_if_due(moment at);
    void send_to_contacts(const join_request &request);
    void handle_join(const join_request &request, moment at);
    void complete_confirmations();
    void relay_renewal(const node_address &from, const renew_request &request);
    void apply_committed();
    void apply_entry(const log_entry &entry);
    void update_leadership(moment at);
    void answer_renewals(moment at);
    void answer_renewal(const pending_renewal &pending, moment at);
    void handle_reports(const renew_request &request, const target_record &record, moment at);
    void handle_crash_reports(const renew_request &request, const node_address &from,
                              renew_reply &reply, moment at);
    void release_expired_quarantines(moment at);
    void record_loads(const renew_request &request, const target_record &record, moment at);
    void register_node(const renew_request &request, const node_address &from, moment at);
    const target_record *registration_of(const renew_request &request,
                                         const node_address &from) const;
    void push_updates();
    void detect_stall(instant now);
    void expire_leases(moment at);
    void run_placement(moment at);
    std::set<std::string> services_to_place(bool balance_due) const;
    void place_service(const std::string &service, moment at, bool balance_due);
    void assign_standbys(const std::string &service, moment at);
    void retire_drained_targets(const std::string &service, moment at);
    void end_expired_key_retention(moment at);
    bool is_evacuated(const target_record &record) const;
    placement_view view_of(const std::string &service) const;
    void split(const std::string &service, const std::vector<std::uint64_t> &split_points,
               moment at);
    target_number
    best_standby_for(const target_record &record,
                     const std::map<target_number, std::size_t> &standby_counts) const;
    void propose(moment at, std::string actor, std::string cause, command_body body);
    void compact_if_due();
    void count_owner_changes(const command &value);

    control_options m_options;
    std::unique_ptr<replica> m_replica;
    control_state m_state;
    audit_sink m_audit;
    lease_registry m_leases;
    greedy_placement m_placement;
    voter_roster m_roster;
    std::deque<std::pair<std::uint64_t, std::uint64_t>> m_confirmations; ///< round, ticket
    routing_history m_routes;
    bool m_established = false;
    std::uint64_t m_last_proposed_index = 0;
    std::uint64_t m_compacted_version = 0;
    std::uint64_t m_pushed_version = 0;
    std::uint64_t m_placed_version = 0; ///< state version that the last placement used
    std::uint64_t m_leases_version = 0; ///< all targets of this state version have a lease entry
    std::uint64_t m_next_ticket = 1;
    instant m_now{};
    instant m_last_tick{};              ///< zero before the first tick
    instant m_expiry_suspended_until{}; ///< no lease expires before this time
    instant m_next_expiry_delay{};      ///< stalls before this time extend no lease
    instant m_last_registration{};
    instant m_next_placement{};
    instant m_next_balance{};
    std::map<std::uint64_t, std::pair<std::uint64_t, std::uint64_t>>
        m_tickets; ///< term and ticket by log index
    std::vector<submit_answer> m_answers;
    std::deque<pending_renewal> m_pending_renewals; ///< in order of their rounds
    std::map<node_address, node_report> m_nodes;
    std::unordered_set<std::string> m_pending_registrations;
    std::unordered_set<std::uint64_t>
        m_pending_crash_reports; ///< ended incarnations already proposed as crashes
    load_tracker m_load_tracker;
    std::unordered_map<std::string, std::uint64_t> m_owner_changes;
    std::unordered_set<std::string> m_services_granted; ///< services whose first grant was applied
    std::vector<outgoing> m_outgoing;
    map_update_cache m_updates;
};

/// Whether a message is addressed to the control plane of a process rather than to its node. Thread
/// safe.
bool is_for_control(const message &body);

} // namespace peppertack
