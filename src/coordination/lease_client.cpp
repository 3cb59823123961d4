#include "peppertack/coordination/lease_client.hpp"

#include "peppertack/coordination/planted_defects.hpp"
#include "peppertack/coordination/target_incarnation.hpp"
#include "peppertack/coordination/voter_roster.hpp"
#include "peppertack/state/routing_delta.hpp"
#include "peppertack/state/text_compression.hpp"

#include <algorithm>
#include <cassert>

namespace peppertack {

namespace {

constexpr std::size_t max_pending_renewals = 64;
constexpr std::size_t max_voters = 16;
constexpr std::size_t max_routing_bytes = 64U << 20U; ///< larger than any table that operators may
                                                      ///< send
constexpr duration switch_voter_delay = std::chrono::milliseconds(20);
/// A leader that did not answer is reached through other voters for this long, then directly again.
constexpr duration relay_duration = std::chrono::seconds(3);
/// The first answer to an announcement carries neither number nor lease; a later one brings both.
/// Until then renewals are sent this many times as often.
constexpr int registering_renewal_factor = 3;
constexpr duration min_renew_interval = std::chrono::milliseconds(5);

/// Spreads the sequence numbers of a process's incarnations far apart. An answer identifies its
/// renewal by that number alone, and a delayed one may reach the next incarnation, where it would
/// bring a lease that outlasts the leader's.
std::uint64_t first_sequence(std::uint64_t incarnation) {
    constexpr std::uint64_t sequence_stride = 0x9E3779B97F4A7C15; // 2^64 over the golden ratio
    return incarnation * sequence_stride;
}

} // namespace

lease_client::lease_client(const node_options &options)
    : m_options(options), m_voters(options.voters), m_registration(options.incarnation),
      m_sequence(first_sequence(options.incarnation)) {
    assert(!m_voters.empty());
    m_voter = options.seed % m_voters.size();
}

std::uint64_t lease_client::incarnation() const {
    return m_options.named_registrations && m_announcement ? m_announcement->incarnation
                                                           : m_registration;
}

/// Whether this is a different target or incarnation than the one announced before.
bool lease_client::is_different(const target_announcement &announcement) const {
    const bool same_incarnation = m_announcement->incarnation == announcement.incarnation ||
                                  m_announcement->incarnation == any_incarnation;
    return m_announcement->name != announcement.name ||
           m_announcement->service != announcement.service || !same_incarnation;
}

void lease_client::announce(const target_announcement &announcement, moment at) {
    if (m_announcement && m_number != no_target && is_different(announcement)) {
        give_up(at);
        return; // the new target is accepted once the old one's lease has ended
    }
    if (m_announcement && m_announcement->incarnation != announcement.incarnation) {
        m_lease_until = {};
        m_confirmed = false;
    }
    // The planned stop of an earlier incarnation does not apply to a new one; otherwise a target
    // restarted after its planned stop would never be granted keys.
    if (m_retired_target && (m_retired_target->name != announcement.name ||
                             m_retired_target->incarnation != announcement.incarnation)) {
        m_retired = false;
    }
    const bool returned = m_announced_at + m_options.announce_timeout < at.now;
    if (m_retired && (returned || (m_announcement && *m_announcement != announcement))) {
        m_retired = false;
    }
    if (!m_announcement || *m_announcement != announcement) {
        renew_at_next_tick();
    }
    m_announcement = announcement;
    m_announced_at = at.now;
}

void lease_client::give_up(moment) {
    if (m_number == no_target) {
        m_announcement.reset();
        return;
    }
    m_giving_up = true;
    m_lease_until = {};
    renew_at_next_tick();
}

bool lease_client::registered(const std::string &name, const std::string &service) const {
    return m_number != no_target && announces(name, service);
}

bool lease_client::announces(const std::string &name, const std::string &service) const {
    return m_announcement && m_announcement->name == name && m_announcement->service == service;
}

void lease_client::end_registration() {
    // A target whose planned stop is complete may keep announcing itself until it is shut down;
    // registering it again would undo the stop.
    const target_route *own = m_map.find_target(m_number);
    m_retired =
        m_confirmed && own != nullptr && own->phase != target_phase::serving && m_drain_started;
    m_confirmed = false;
    m_retired_target = m_retired ? m_announcement : std::nullopt;
    m_drain_started = false;
    m_number = no_target;
    m_lease_until = {};
    ++m_registration;
    if (m_giving_up) {
        m_announcement.reset();
    }
    m_giving_up = false;
}

void lease_client::tick(moment at, const fill_report &fill, std::vector<outgoing> &messages) {
    if (m_announcement && m_announced_at + m_options.announce_timeout < at.now) {
        give_up(at);
    }
    if (const target_route *own = m_map.find_target(m_number)) {
        m_drain_started = m_drain_started || own->phase == target_phase::draining;
    }
    if (m_awaiting_reply && at.now >= m_reply_due) {
        m_unresponsive_voter = m_voters[m_voter];
        m_relay_until = at.now + relay_duration;
        switch_voter({}, at.now);
        m_awaiting_reply = false;
        renew_at_next_tick();
    }
    if (at.now >= m_renew_at && m_last_sent + min_renew_interval <= at.now) {
        send(at, fill, messages);
    }
}

void lease_client::send(moment at, const fill_report &fill, std::vector<outgoing> &messages) {
    renew_request request{.sequence = ++m_sequence,
                          .map_version = m_map.version(),
                          .table_version = m_table_version,
                          .routes_version = m_routes.version,
                          .has_target = m_announcement.has_value() && !m_retired,
                          .draining = draining(),
                          .giving_up = m_giving_up,
                          .wants_relay = at.now < m_relay_until};
    request.target.number = m_number;
    request.target.incarnation = incarnation();
    request.suspects_version = m_suspects.version();
    request.evacuations_version = m_evacuations_version;
    // Once registered, the number identifies the target; the other fields would be half of a
    // renewal's size.
    if (m_announcement && m_number == no_target) {
        request.target.failure_domain = m_options.failure_domain;
        request.target.node_address = m_options.self;
        request.target.name = m_announcement->name;
        request.target.service = m_announcement->service;
        request.target.slots = m_announcement->slots;
        request.target.connections = m_announcement->connections;
        request.target.checks_tokens = m_announcement->checks_tokens;
    }
    fill(request, at.now);
    m_sent[m_sequence] = {
        .at = at.now, .number = m_number, .incarnation = request.target.incarnation};
    if (m_announcement) {
        m_sent[m_sequence].name = m_announcement->name;
        m_sent[m_sequence].service = m_announcement->service;
    }
    if (m_sent.size() > max_pending_renewals) {
        m_sent.erase(m_sent.begin());
    }
    m_last_sent = at.now;
    const bool registering = m_announcement && m_number == no_target;
    m_renew_at = at.now + m_options.renew_interval / (registering ? registering_renewal_factor : 1);
    if (!m_awaiting_reply) {
        m_awaiting_reply = true;
        m_reply_due = at.now + m_options.renew_timeout;
    }
    messages.push_back({m_voters[m_voter], std::move(request)});
}

void lease_client::switch_voter(const node_address &hint, instant now) {
    const node_address wanted = address_of(hint);
    auto hinted = std::find(m_voters.begin(), m_voters.end(), wanted);
    if (!hint.empty() && hinted == m_voters.end() && m_voters.size() < max_voters) {
        // A voter that joined after the configuration was written.
        hinted = m_voters.insert(m_voters.end(), wanted);
    }
    if (hinted != m_voters.end()) {
        m_voter = static_cast<std::size_t>(std::distance(m_voters.begin(), hinted));
        renew_at_next_tick();
        return;
    }
    m_voter = (m_voter + 1) % m_voters.size();
    m_renew_at = now + switch_voter_delay;
}

lease_client::change lease_client::receive(const node_address &from, const renew_reply &reply,
                                           moment at) {
    change changed;
    const auto sent = m_sent.find(reply.sequence);
    if (sent == m_sent.end()) {
        return changed; // an answer to an earlier incarnation of this process, or far too late
    }
    const sent_renewal renewal = sent->second;
    m_sent.erase(sent);
    if (address_of(from) == m_voters[m_voter]) {
        m_awaiting_reply = false;
        const bool silent =
            at.now < m_relay_until && address_of(reply.leader_hint) == m_unresponsive_voter;
        if (!reply.is_leader && silent) {
            // The leader timed out recently; this voter will relay the next renewal.
            m_renew_at = at.now + switch_voter_delay;
        } else if (!reply.is_leader) {
            switch_voter(reply.leader_hint, at.now);
        }
    }
    if (!reply.is_leader) {
        return changed;
    }
    update_voters(from, reply.voters);
    changed.map = reply.whole_map && m_map.apply(*reply.whole_map);
    changed.map = m_map.apply(reply.map) || changed.map;
    apply_table(reply, changed);
    apply_routes(reply, changed);
    if (reply.suspects_version > m_suspects.version()) {
        m_suspects.replace(reply.suspects_version, reply.suspects);
        changed.suspects = true;
    }
    const bool frozen = g_defects.keep_first_evacuations && m_evacuations_version != 0;
    if (reply.evacuations_version > m_evacuations_version && !frozen) {
        m_evacuations_version = reply.evacuations_version;
        m_evacuated = {reply.evacuated.begin(), reply.evacuated.end()};
        changed.evacuations = true;
    }
    if (reply.routes_version != 0 && reply.routes_version == m_routes.version) {
        m_routes_confirmed_at = std::max(m_routes_confirmed_at, renewal.at);
    }
    if (reply.table_version != 0 && reply.table_version == m_table_version) {
        m_table_confirmed_at = std::max(m_table_confirmed_at, renewal.at);
    }
    if (renewal.incarnation != incarnation()) {
        return changed; // about a registration that the current one does not continue
    }
    if (renewal.number == m_number && reply.registration_lost && m_number != no_target) {
        end_registration();
        changed.registration = true;
        renew_at_next_tick();
    } else if (m_number == no_target && reply.number != no_target && !m_giving_up &&
               renewal.number == no_target && announces(renewal.name, renewal.service)) {
        // The renewal must have announced the same target: an answer overtaken by the announcement
        // of another target carries the old target's number, under which the new target would
        // receive its requests and keys.
        m_number = reply.number;
        changed.registration = true;
    }
    m_confirmed = m_confirmed || (m_number != no_target && reply.number == m_number);
    if (reply.lease > duration{} && reply.number == m_number && !m_giving_up) {
        const instant counted_from = g_defects.lease_from_receipt ? at.now : renewal.at;
        m_lease_until = std::max(m_lease_until, counted_from + m_options.lease.node_length());
        ++m_renewed;
    }
    return changed;
}

/// Adopts the current voters, which differ from the configured ones once one was replaced.
void lease_client::update_voters(const node_address &leader,
                                 const std::vector<node_address> &voters) {
    // Compares addresses, since a node initially knows voters by these alone. The voter at an
    // address answers for it, even if it has returned without its disk and under another identity.
    std::vector<node_address> addresses;
    for (const node_address &voter : voters) {
        const node_address address = address_of(voter);
        if (std::find(addresses.begin(), addresses.end(), address) == addresses.end()) {
            addresses.push_back(address);
        }
    }
    const auto place = std::find(addresses.begin(), addresses.end(), address_of(leader));
    if (place == addresses.end()) {
        return;
    }
    m_voter = static_cast<std::size_t>(std::distance(addresses.begin(), place));
    m_voters = std::move(addresses);
}

lease_client::change lease_client::receive(const map_update &update) {
    return {.map = m_map.apply(update)};
}

void lease_client::apply_table(const renew_reply &reply, change &changed) {
    if (reply.table_version <= m_table_version) {
        return;
    }
    std::vector<table_problem> problems;
    std::optional<table> next = make_table(reply.table_csv, problems);
    if (!next) {
        return;
    }
    m_table = std::move(*next);
    m_table_version = reply.table_version;
    changed.table = true;
    renew_at_next_tick(); // no lease is granted until this node reports the table in force
}

void lease_client::apply_routes(const renew_reply &reply, change &changed) {
    if (reply.routes_version <= m_routes.version || reply.routes.empty()) {
        return;
    }
    const std::optional<std::string> text = decompress_text(reply.routes, max_routing_bytes);
    std::string reason = text ? "made for another version" : "damaged or too large";
    const std::optional<routing_delta> delta = text ? decode_delta(*text, reason) : std::nullopt;
    std::optional<routing_table> next = delta ? apply(m_routes, *delta) : std::nullopt;
    if (!next) {
        changed.unreadable_routes = std::move(reason);
        return;
    }
    m_routes = std::move(*next);
    changed.routes = true;
    renew_at_next_tick(); // as for the table of services
}

std::vector<lease_client::own_range> lease_client::own_ranges() const {
    std::vector<own_range> result;
    const route_map::service_map *ranges =
        m_announcement ? m_map.find_service(m_announcement->service) : nullptr;
    if (ranges == nullptr || m_number == no_target) {
        return result;
    }
    for (std::size_t i = 0; i < ranges->ranges.size(); ++i) {
        if (ranges->ranges[i].owner == m_number) {
            result.push_back({ranges->ranges[i], ranges->last_hash(i)});
        }
    }
    return result;
}

} // namespace peppertack
