#include "peppertack/coordination/voter_roster.hpp"

#include <algorithm>

namespace peppertack {

namespace {

/// A leaving notice expires after this time: the process was restarted and stays.
constexpr duration leaving_notice_ttl = std::chrono::seconds(10);

} // namespace

node_address address_of(const node_address &identity) {
    return identity.substr(0, identity.find(identity_separator));
}

void voter_roster::record(const join_request &request, instant now) {
    if (request.leaving) {
        m_leaving[request.identity] = now;
        m_offers.erase(request.identity);
        return;
    }
    m_leaving.erase(request.identity);
    m_offers[request.identity] = now;
}

std::optional<node_address> voter_roster::spare(const membership &members) const {
    for (const auto &[identity, last_offer] : m_offers) {
        if (members.voters.count(identity) == 0) {
            return identity;
        }
    }
    return std::nullopt;
}

std::optional<voter_roster::change> voter_roster::next_change(const membership &members,
                                                              const node_address &self,
                                                              const contact_age &time_since_contact,
                                                              instant now) {
    std::erase_if(m_offers,
                  [&](const auto &offer) { return offer.second + m_options.offer_ttl < now; });
    std::erase_if(m_leaving,
                  [&](const auto &item) { return item.second + leaving_notice_ttl < now; });
    if (m_options.desired_voters == 0 || members.learner || m_offers.empty()) {
        return std::nullopt;
    }
    for (const auto &[identity, last_offer] : m_offers) {
        if (members.voters.count(identity) != 0) {
            continue;
        }
        // A different identity at a voter's address: that voter's disk, with its votes and
        // acknowledgements, is lost.
        for (const node_address &voter : members.voters) {
            if (voter != self && address_of(voter) == address_of(identity)) {
                return change{identity, voter};
            }
        }
    }
    const std::optional<node_address> candidate = spare(members);
    if (!candidate) {
        return std::nullopt;
    }
    if (members.voters.size() < m_options.desired_voters) {
        return change{*candidate, std::nullopt};
    }
    for (const node_address &voter : members.voters) {
        if (m_leaving.count(voter) != 0 || time_since_contact(voter) > m_options.voter_timeout) {
            return change{*candidate, voter};
        }
    }
    return std::nullopt;
}

bool voter_roster::offer_due(instant now) {
    if (m_options.desired_voters == 0 || now < m_offer_at) {
        return false;
    }
    m_offer_at = now + m_options.offer_interval;
    return true;
}

std::vector<node_address> voter_roster::contacts(const membership &members) const {
    std::set<node_address> all(members.voters.begin(), members.voters.end());
    for (const node_address &contact : m_options.contacts) {
        const bool known = std::any_of(all.begin(), all.end(), [&](const node_address &voter) {
            return address_of(voter) == contact;
        });
        if (!known) {
            all.insert(contact);
        }
    }
    return {all.begin(), all.end()};
}

} // namespace peppertack
