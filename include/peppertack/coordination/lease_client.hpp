#pragma once

#include "peppertack/coordination/node_options.hpp"
#include "peppertack/coordination/route_map.hpp"
#include "peppertack/coordination/suspect_list.hpp"
#include "peppertack/state/routing_table.hpp"
#include "peppertack/state/table.hpp"

#include <functional>
#include <map>
#include <optional>

namespace peppertack {

/// A node's side of its target's lease: finds the leader, renews, follows map and table. The lease
/// runs from when the renewal was sent. Not thread safe.
class lease_client {
public:
    /// Puts what the other parts of the node have to report into a renewal.
    using fill_report = std::function<void(renew_request &, instant)>;

    explicit lease_client(const node_options &options);

    /// The lease is held back while the life of a registered target becomes known, until the leader
    /// has confirmed that the registration is that life's: it may be an earlier one's, whose
    /// fencing tokens must not be handed out again.
    void announce(const target_announcement &announcement, moment at);
    /// The target is gone: nothing is served from now on and the lease is given up.
    void give_up(moment at);
    void begin_stop() { m_stopping = true; }

    /// What changed by a step.
    struct change {
        bool map = false;
        bool registration = false; ///< a new number, or none any more
        bool table = false;
        bool routes = false;
        bool suspects = false;
        std::string
            unreadable_routes; ///< why a routing table that came was not taken; empty: none was
    };
    change receive(const node_address &from, const renew_reply &reply, moment at);
    change receive(const map_update &update);
    void tick(moment at, const fill_report &fill, std::vector<outgoing> &messages);
    /// Renew with the next tick; something is to be reported or learnt.
    void renew_at_next_tick() { m_renew_at = {}; }

    bool lease_valid(instant now) const { return m_number != no_target && now < m_lease_until; }
    instant lease_until() const { return m_lease_until; }
    target_number number() const { return m_number; }
    /// Whether `number()` was given to the target of that name and service. It outlives its target
    /// until the leader has heard of the end, which takes long while the voters can't be reached.
    bool registered(const std::string &name, const std::string &service) const;
    const route_map &map() const { return m_map; }
    const table &current_table() const { return m_table; }
    std::uint64_t table_version() const { return m_table_version; }
    /// The routing table in force here; version 0 before the first.
    const routing_table &routes() const { return m_routes; }
    /// When a leader that was proved to lead last said that this routing table is the one in force,
    /// by the time at which it was asked; zero before the first time.
    instant routes_confirmed_at() const { return m_routes_confirmed_at; }
    /// Whether a request may be told to be wrong by the routing table here. A caller does not send
    /// such a request again, so a routing table that may have been replaced must not decide it.
    bool routes_trusted(instant now) const { return trusted(m_routes_confirmed_at, now); }
    /// The same for the table of services.
    bool table_trusted(instant now) const { return trusted(m_table_confirmed_at, now); }
    /// Requests under which targets have ended.
    const suspect_list &suspects() const { return m_suspects; }
    /// Ranges of the local target, in order, with the last hash of each.
    struct own_range {
        range_record record;
        std::uint64_t last = 0;
    };
    std::vector<own_range> own_ranges() const;
    const std::optional<target_announcement> &announcement() const { return m_announcement; }
    const node_address &leader() const { return m_voters[m_voter]; }
    const std::vector<node_address> &voters() const { return m_voters; }
    bool giving_up() const { return m_giving_up; }
    bool stopping() const { return m_stopping; }
    bool draining() const { return m_stopping || (m_announcement && m_announcement->draining); }
    std::uint64_t renewed() const { return m_renewed; }

private:
    bool trusted(instant confirmed_at, instant now) const {
        return confirmed_at != instant{} && now < confirmed_at + m_options.table_trusted_for;
    }
    struct sent_renewal {
        instant at{};
        target_number number = no_target;
        std::string name; ///< of the target that was announced; empty without one
        std::string service;
        std::uint64_t incarnation = 0;
    };
    bool announces(const std::string &name, const std::string &service) const;

    std::uint64_t incarnation() const;
    bool is_other(const target_announcement &announcement) const;
    void send(moment at, const fill_report &fill, std::vector<outgoing> &messages);
    void next_voter(const node_address &hint, instant now);
    void follow_voters(const node_address &leader, const std::vector<node_address> &voters);
    void end_registration();
    void take_table(const renew_reply &reply, change &changed);
    void take_routes(const renew_reply &reply, change &changed);

    const node_options &m_options;
    std::vector<node_address> m_voters;
    std::size_t m_voter = 0;
    std::optional<target_announcement> m_announcement;
    instant m_announced_at{};
    std::uint64_t m_registration; ///< incarnation of the current or next registration
    target_number m_number = no_target;
    instant m_lease_until{};
    bool m_giving_up = false;
    bool m_stopping = false;
    bool m_drain_seen = false; ///< a planned stop of this registration was under way
    bool m_retired = false;    ///< the stop is done and the target has not been away since
    std::optional<target_announcement> m_retired_target; ///< whose stop that was
    route_map m_map;
    table m_table;
    std::uint64_t m_table_version = 0;
    routing_table m_routes;
    suspect_list m_suspects;
    instant m_routes_confirmed_at{};
    instant m_table_confirmed_at{};
    std::uint64_t m_sequence; ///< of the last renewal
    std::map<std::uint64_t, sent_renewal> m_sent;
    instant m_renew_at{};
    instant m_answer_due{};
    instant m_sent_last{};
    bool m_waiting = false;
    node_address m_silent_voter; ///< did not answer in time
    instant m_relay_until{};     ///< until then renewals ask to be passed on to the leader
    std::uint64_t m_renewed = 0;
};

} // namespace peppertack
