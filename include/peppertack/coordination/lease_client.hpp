#pragma once

#include "peppertack/coordination/node_options.hpp"
#include "peppertack/coordination/route_map.hpp"
#include "peppertack/coordination/suspect_list.hpp"
#include "peppertack/state/routing_table.hpp"
#include "peppertack/state/table.hpp"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace peppertack {

/// Node side of the target's lease: finds the leader, sends renewals, and follows the map and the
/// tables. The lease is counted from when the renewal was sent. Not thread safe.
class lease_client {
public:
    /// Adds the reports of the node's other components to a renewal.
    using fill_report = std::function<void(renew_request &, instant)>;

    explicit lease_client(const node_options &options);

    /// Announces the local target. When the incarnation of a registered target becomes known, the
    /// lease is suspended until the leader has confirmed that the registration belongs to that
    /// incarnation: it may be an earlier one's, whose fencing tokens must not be used again.
    void announce(const target_announcement &announcement, moment at);
    /// The target is gone: the lease is given up and no request is served from now on.
    void give_up(moment at);
    void begin_stop() { m_stopping = true; }

    /// State changed by a message.
    struct change {
        bool map = false;
        bool registration = false; ///< the target number was assigned or dropped
        bool table = false;
        bool routes = false;
        bool suspects = false;
        bool evacuations = false;
        std::string
            unreadable_routes; ///< why a received routing table was rejected; empty if none was
    };
    change receive(const node_address &from, const renew_reply &reply, moment at);
    change receive(const map_update &update);
    void tick(moment at, const fill_report &fill, std::vector<outgoing> &messages);
    /// Sends a renewal with the next tick, to report or to fetch something at once.
    void renew_at_next_tick() { m_renew_at = {}; }

    bool lease_valid(instant now) const { return m_number != no_target && now < m_lease_until; }
    instant lease_until() const { return m_lease_until; }
    target_number number() const { return m_number; }
    /// Whether `number()` belongs to the target of this name and service. A registration outlives
    /// its target until the leader has processed its end, which takes long while the voters are
    /// unreachable.
    bool registered(const std::string &name, const std::string &service) const;
    const route_map &map() const { return m_map; }
    const table &current_table() const { return m_table; }
    std::uint64_t table_version() const { return m_table_version; }
    /// The node's current routing table; version 0 before the first.
    const routing_table &routes() const { return m_routes; }
    /// When a leader confirmed by a quorum last reported this routing table as the one in force,
    /// counted from when the renewal was sent; zero before the first time.
    instant routes_confirmed_at() const { return m_routes_confirmed_at; }
    /// Whether the routing table may be used to reject a request as invalid. Callers do not retry
    /// such a request, so a table that may have been replaced must not decide it.
    bool routes_trusted(instant now) const { return trusted(m_routes_confirmed_at, now); }
    /// As `routes_trusted`, for the table of services.
    bool table_trusted(instant now) const { return trusted(m_table_confirmed_at, now); }
    /// Requests suspected of crashing targets.
    const suspect_list &suspects() const { return m_suspects; }
    /// Failure domains whose targets must get no requests, as last received from a leader.
    const std::set<std::string> &evacuated() const { return m_evacuated; }
    /// A range of the local target, with its last hash.
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
        std::string name; ///< announced target; empty without one
        std::string service;
        std::uint64_t incarnation = 0;
    };
    bool announces(const std::string &name, const std::string &service) const;

    std::uint64_t incarnation() const;
    bool is_different(const target_announcement &announcement) const;
    void send(moment at, const fill_report &fill, std::vector<outgoing> &messages);
    void switch_voter(const node_address &hint, instant now);
    void update_voters(const node_address &leader, const std::vector<node_address> &voters);
    void end_registration();
    void apply_table(const renew_reply &reply, change &changed);
    void apply_routes(const renew_reply &reply, change &changed);

    const node_options &m_options;
    std::vector<node_address> m_voters;
    std::size_t m_voter = 0;
    std::optional<target_announcement> m_announcement;
    instant m_announced_at{};
    std::uint64_t m_registration; ///< node-level incarnation of the current or next registration
    target_number m_number = no_target;
    instant m_lease_until{};
    bool m_confirmed = false; ///< the registration is one of the incarnation that is announced
    bool m_giving_up = false;
    bool m_stopping = false;
    bool m_drain_started = false; ///< a planned stop of this registration was in progress
    bool m_retired = false;       ///< the stop is complete and the target has not been absent since
    std::optional<target_announcement> m_retired_target; ///< target of that stop
    route_map m_map;
    table m_table;
    std::uint64_t m_table_version = 0;
    routing_table m_routes;
    suspect_list m_suspects;
    std::set<std::string> m_evacuated;
    std::uint64_t m_evacuations_version = 0;
    instant m_routes_confirmed_at{};
    instant m_table_confirmed_at{};
    std::uint64_t m_sequence; ///< of the last renewal
    std::map<std::uint64_t, sent_renewal> m_sent;
    instant m_renew_at{};
    instant m_reply_due{};
    instant m_last_sent{};
    bool m_awaiting_reply = false;
    node_address m_unresponsive_voter; ///< voter whose reply timed out
    instant m_relay_until{};           ///< until then renewals ask to be relayed to the leader
    std::uint64_t m_renewed = 0;
};

} // namespace peppertack
