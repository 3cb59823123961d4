#pragma once

#include "peppertack/coordination/lease_registry.hpp"
#include "peppertack/coordination/load_book.hpp"
#include "peppertack/coordination/map_updates.hpp"
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
    duration placement_interval = std::chrono::milliseconds(50);
    duration balance_interval = std::chrono::seconds(1);
    duration gathering_time = std::chrono::milliseconds(500); ///< for a service's first targets
    duration key_retention = std::chrono::minutes(10);
    /// Then one end of a target is risked to learn whether a request still causes it.
    duration quarantine = std::chrono::hours(24);
    /// Without a step for so long this voter was stalled, by its disk or as a process.
    duration stall = std::chrono::milliseconds(150);
    /// After a stall renewals are heard for so long before a lease is taken as ended.
    duration patience_after_stall = std::chrono::milliseconds(300);
    std::uint64_t entries_per_snapshot = 10'000;
    std::size_t push_to_all_below = 200; ///< with more nodes, only those concerned are pushed to
    std::size_t push_items = 256; ///< larger changes are fetched by the renewals, spread over time
    std::size_t items_per_update = 512;   ///< the rest follows with the next renewals
    std::size_t losses_per_decision = 16; ///< keeps what one decision touches within an update
    voter_roster::options roster;
};

/// Answer to a command that an operator submitted.
struct submit_answer {
    std::uint64_t ticket = 0;
    error_kind error = error_kind::none;
    bool certain = true; ///< false: leadership was lost on the way; it may still take effect
    std::uint64_t version = 0;
    std::optional<change_answer> change;
};

/// The control part of one voter: replicates decisions and, while it leads, makes them. Grants
/// leases, gives every range one owner, drives planned stops, records why. Deterministic; not
/// thread safe: it belongs to the control thread.
class control_core {
public:
    using audit_sink = std::function<bool(const audit_record &)>;

    /// Precondition: `log` outlives the object. `audit` is called for each decision as it is
    /// applied and may see the same record again after a restart. Yields nothing, with the reason,
    /// if the log's snapshot can't be read.
    static std::unique_ptr<control_core> make(control_options options, durable_log &log,
                                              audit_sink audit, moment at, std::string &reason);

    void tick(moment at);
    void receive(const node_address &from, const message &body, moment at);
    /// To be called after each write of a log that writes behind, whether it succeeded or not.
    void note_written(moment at);

    /// Proposes a command. The answer comes by `take_answers` under the yielded ticket.
    std::uint64_t submit(command value, moment at);
    /// Asks for proof that this voter leads; the answer, without an error once a quorum has
    /// confirmed it, comes by `take_answers`. The state read in that same step holds all that was
    /// acknowledged.
    std::uint64_t prove_leadership(moment at);
    /// Whether as many voters take part as the promised tolerance of losses needs.
    bool enough_voters() const;
    /// This process is about to end: a spare voter may take its place at once.
    void announce_leaving(moment at);
    /// Replaces a voter; see `replica::replace_voter`.
    bool replace_voter(const node_address &learner, const std::optional<node_address> &replaces,
                       moment at);

    std::vector<outgoing> take_outgoing();
    std::vector<submit_answer> take_answers();

    /// Leads and knows all earlier decisions.
    bool established() const { return m_established; }
    const control_state &state() const { return m_state; }
    const replica &replication() const { return *m_replica; }
    const std::map<node_address, node_report> &nodes() const { return m_nodes; }
    const lease_registry &leases() const { return m_leases; }
    /// Highest measured load over weight share among a service's targets; 1 is perfect.
    /// Precondition: the service has ranges.
    double imbalance_of(const std::string &service) const;
    /// Ranges that changed owner after their first, since this process started.
    std::uint64_t owner_changes(const std::string &service) const;

private:
    control_core(control_options options, durable_log &log, audit_sink audit, instant now);

    struct waiting_renewal {
        std::uint64_t round = 0;
        node_address from;
        renew_request request;
    };
    void settle(moment at);
    void follow_roster(moment at);
    void offer_to_join(moment at);
    void send_to_contacts(const join_request &request);
    void take_join(const join_request &request, moment at);
    void answer_proofs();
    void pass_renewal_on(const node_address &from, const renew_request &request);
    void apply_committed();
    void apply_entry(const log_entry &entry);
    void update_leadership(moment at);
    void answer_renewals(moment at);
    void answer_renewal(const waiting_renewal &waiting, moment at);
    void take_reports(const renew_request &request, const target_record &record, moment at);
    void take_crashes(const renew_request &request, const node_address &from, renew_reply &reply,
                      moment at);
    void end_quarantines(moment at);
    void take_loads(const renew_request &request, const target_record &record, moment at);
    void register_node(const renew_request &request, const node_address &from, moment at);
    const target_record *registration_of(const renew_request &request,
                                         const node_address &from) const;
    void push_updates();
    void note_stall(instant now);
    void end_leases(moment at);
    void place(moment at);
    std::set<std::string> services_to_place(bool balance_due) const;
    void place_service(const std::string &service, moment at, bool balance_due);
    void choose_standbys(const std::string &service, moment at);
    void finish_stops(const std::string &service, moment at);
    void close_memory_windows(moment at);
    placement_view view_of(const std::string &service) const;
    void split(const std::string &service, const std::vector<std::uint64_t> &cuts, moment at);
    target_number standby_for(const target_record &record,
                              const std::map<target_number, std::size_t> &duties) const;
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
    std::deque<std::pair<std::uint64_t, std::uint64_t>> m_proofs; ///< round, ticket
    routing_history m_routes;
    bool m_established = false;
    std::uint64_t m_last_proposed = 0;
    std::uint64_t m_last_compacted = 0;
    std::uint64_t m_last_pushed = 0;
    std::uint64_t m_last_placed = 0;  ///< state version that decisions have been made on
    std::uint64_t m_leases_known = 0; ///< state version whose targets all have a lease entry
    std::uint64_t m_next_ticket = 1;
    instant m_now{};
    instant m_ticked_at{};     ///< zero before the first time
    instant m_patient_until{}; ///< leases are not ended until then
    instant m_next_patience{}; ///< stalls before it count for nothing
    instant m_last_joined{};
    instant m_place_at{};
    instant m_balance_at{};
    std::map<std::uint64_t, std::pair<std::uint64_t, std::uint64_t>>
        m_tickets; ///< index: term, ticket
    std::vector<submit_answer> m_answers;
    std::deque<waiting_renewal> m_renewals; ///< in order of their rounds
    std::map<node_address, node_report> m_nodes;
    std::unordered_set<std::string> m_registering;
    std::unordered_set<std::uint64_t> m_reporting; ///< ended lives that were proposed
    load_book m_loads;
    std::unordered_map<std::string, std::uint64_t> m_owner_changes;
    std::unordered_set<std::string> m_granted_once; ///< services whose first grants are over
    std::vector<outgoing> m_outgoing;
    map_updates m_updates;
};

/// Whether a message is meant for the control part of a process; else for its node part. Thread
/// safe.
bool is_for_control(const message &body);

} // namespace peppertack
