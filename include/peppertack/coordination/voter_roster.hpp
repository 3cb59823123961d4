#pragma once

#include "peppertack/coordination/messages.hpp"
#include "peppertack/coordination/replica.hpp"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace peppertack {

/// Returns the host:port part of a process identity. A voter's identity is its address, a separator
/// and a number stored on its disk: a process that restarts with an empty disk gets a new identity
/// and must not vote under the old one, whose votes and acknowledgements it has lost.
node_address address_of(const node_address &identity);
inline constexpr char identity_separator = '#';

/// Plans membership changes for the leader: adds spare processes until there are enough voters for
/// the configured fault tolerance, and replaces a voter that failed, is leaving or restarted with
/// an empty disk. Not thread safe.
class voter_roster {
public:
    struct options {
        /// Twice the number of simultaneous failures to tolerate, plus one. 0 disables automatic
        /// changes: only operators change the voters.
        std::size_t desired_voters = 0;
        std::vector<node_address> contacts; ///< addresses to contact at startup
        duration offer_interval = std::chrono::milliseconds(250);
        /// A spare whose last offer is older than this, so that several offers in a row were lost,
        /// is not used.
        duration offer_ttl = std::chrono::milliseconds(1200);
        /// A voter without contact for this long is replaced if there is a spare. Longer than an
        /// election and a process restart, so that a transient fault does not cost a copy of the
        /// state.
        duration voter_timeout = std::chrono::milliseconds(1500);
    };

    voter_roster(options settings, instant now) : m_options(std::move(settings)), m_offer_at(now) {}

    struct change {
        node_address learner;
        std::optional<node_address> replaces;

        friend bool operator==(const change &, const change &) = default;
    };
    using contact_age = std::function<duration(const node_address &)>;

    /// Records an offer to become a voter, or a notice that the process is leaving.
    void record(const join_request &request, instant now);
    void remove_offer(const node_address &identity) { m_offers.erase(identity); }
    /// Returns the next membership change; nothing if none is needed, there is no spare, or a
    /// change is in progress.
    std::optional<change> next_change(const membership &members, const node_address &self,
                                      const contact_age &time_since_contact, instant now);

    /// Whether this process should offer itself as a voter now; true once per `offer_interval`.
    bool offer_due(instant now);
    /// Postpones the next offer by `offer_interval`; for a process that is a voter already.
    void defer_offer(instant now) { m_offer_at = now + m_options.offer_interval; }
    /// Identities or addresses to send offers to.
    std::vector<node_address> contacts(const membership &members) const;

private:
    std::optional<node_address> spare(const membership &members) const;

    options m_options;
    std::map<node_address, instant> m_offers;
    std::map<node_address, instant> m_leaving;
    instant m_offer_at{};
};

} // namespace peppertack
