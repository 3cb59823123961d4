#include "peppertack/coordination/voter_roster.hpp"

#include <algorithm>

namespace peppertack {

namespace {

/// What a process said of its end is void after this: it was restarted and goes on.
constexpr duration leaving_lifetime = std::chrono::seconds(10);

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
    for (const auto &[identity, heard] : m_offers) {
        if (members.voters.count(identity) == 0) {
            return identity;
        }
    }
    return std::nullopt;
}

std::optional<voter_roster::change> voter_roster::next_change(const membership &members,
                                                              const node_address &self,
                                                              const silence &silent_for,
                                                              instant now) {
    std::erase_if(m_offers,
                  [&](const auto &offer) { return offer.second + m_options.offer_ttl < now; });
    std::erase_if(m_leaving,
                  [&](const auto &item) { return item.second + leaving_lifetime < now; });
    if (m_options.desired_voters == 0 || members.learner || m_offers.empty()) {
        return std::nullopt;
    }
    for (const auto &[identity, heard] : m_offers) {
        if (members.voters.count(identity) != 0) {
            continue;
        }
        // Another identity at a voter's address: that voter's disk, and its promises, are gone.
        for (const node_address &voter : members.voters) {
            if (voter != self && address_of(voter) == address_of(identity)) {
                return change{identity, voter};
            }
        }
    }
    const std::optional<node_address> newcomer = spare(members);
    if (!newcomer) {
        return std::nullopt;
    }
    if (members.voters.size() < m_options.desired_voters) {
        return change{*newcomer, std::nullopt};
    }
    for (const node_address &voter : members.voters) {
        if (m_leaving.count(voter) != 0 || silent_for(voter) > m_options.voter_timeout) {
            return change{*newcomer, voter};
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
