#pragma once

#include "peppertack/coordination/messages.hpp"
#include "peppertack/coordination/replica.hpp"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace peppertack {

/// host:port of a process from its identity. A voter's identity is its address, a mark, and a
/// number that lives on its disk: a process that comes back with an empty disk is a stranger and
/// must not vote under the name whose promises it has lost.
node_address address_of(const node_address &identity);
inline constexpr char identity_separator = '#';

/// Advises the leader on who should be a voter: takes spare processes in until there are as many
/// voters as the tolerance of losses needs, and puts a spare in place of a voter that was lost, is
/// leaving or came back without its disk. Not thread safe.
class voter_roster {
public:
    struct options {
        /// Voters wanted: twice the number of losses to be borne at once, and one. 0: operators
        /// alone decide who is a voter.
        std::size_t desired_voters = 0;
        std::vector<node_address> contacts; ///< addresses to ask at first
        duration offer_interval = std::chrono::milliseconds(250);
        /// A spare not heard of for so long is not counted on: some offers in a row were lost.
        duration offer_ttl = std::chrono::milliseconds(1200);
        /// A voter silent for so long is replaced if there is a spare. Above an election and a
        /// restart of a process, so that a passing fault does not cost a copy of the state.
        duration voter_timeout = std::chrono::milliseconds(1500);
    };

    voter_roster(options settings, instant now) : m_options(std::move(settings)), m_offer_at(now) {}

    struct change {
        node_address learner;
        std::optional<node_address> replaces;

        friend bool operator==(const change &, const change &) = default;
    };
    using silence = std::function<duration(const node_address &)>;

    void record(const join_request &request, instant now);
    void remove_offer(const node_address &identity) { m_offers.erase(identity); }
    /// The change to make next; nothing if all is well, nobody offers, or one is under way.
    std::optional<change> next_change(const membership &members, const node_address &self,
                                      const silence &silent_for, instant now);

    /// Whether this process should offer itself now; yields true once an interval.
    bool offer_due(instant now);
    /// A leader counts this process: the next offer, if any, comes an interval later.
    void defer_offer(instant now) { m_offer_at = now + m_options.offer_interval; }
    /// Whom to send an offer to.
    std::vector<node_address> contacts(const membership &members) const;

private:
    std::optional<node_address> spare(const membership &members) const;

    options m_options;
    std::map<node_address, instant> m_offers;
    std::map<node_address, instant> m_leaving;
    instant m_offer_at{};
};

} // namespace peppertack
