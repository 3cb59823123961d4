#include "peppertack/coordination/node_core.hpp"

#include <utility>
#include <variant>

namespace peppertack {

node_core::node_core(node_options options)
    : m_options(std::move(options)), m_lease(m_options),
      m_router(m_options, m_lease, m_effects, m_counters),
      m_owner(m_options, m_lease, m_effects, m_counters,
              [this](const request_id &id, caller_response response, moment at) {
                  m_router.local_answer(id, std::move(response), at);
              }) {
    m_router.set_owner(m_owner);
}

void node_core::tick(moment at) {
    const bool was_giving_up = m_lease.giving_up();
    m_lease.tick(
        at, [this](renew_request &request, instant now) { m_owner.fill_report(request, now); },
        m_effects.messages);
    if (m_lease.giving_up() && !was_giving_up) {
        m_owner.stop_serving(at);
    }
    m_owner.tick(at);
    m_router.tick(at);
}

void node_core::follow(const lease_client::change &changed, moment at) {
    m_counters.leases_renewed = m_lease.renewed();
    if (changed.table) {
        m_owner.table_changed();
    }
    if (changed.registration) {
        m_owner.registration_changed(at);
    } else if (changed.map) {
        m_owner.map_changed(at);
    }
    if (changed.map || changed.registration) {
        m_router.map_changed(at);
    }
}

void node_core::receive(const node_address &from, const message &body, moment at) {
    const auto visit = [&](const auto &value) {
        using type = std::decay_t<decltype(value)>;
        if constexpr (std::is_same_v<type, renew_reply>) {
            m_owner.crashes_recorded(value.crashes_recorded);
            follow(m_lease.receive(from, value, at), at);
        } else if constexpr (std::is_same_v<type, map_update>) {
            follow(m_lease.receive(value), at);
        } else if constexpr (std::is_same_v<type, forward_request>) {
            m_owner.serve(value.id, from, value.owner, value.request, at);
        } else if constexpr (std::is_same_v<type, cancel_request>) {
            m_owner.cancel(value.id, at);
        } else if constexpr (requires { m_router.receive(from, value, at); }) {
            m_router.receive(from, value, at);
        } else if constexpr (requires { m_owner.receive(from, value, at); }) {
            m_owner.receive(from, value, at);
        }
    };
    std::visit(visit, body);
}

void node_core::peer_down(const node_address &address, moment at) {
    m_router.peer_down(address, at);
}

void node_core::announce(const target_announcement &announcement, moment at) {
    const bool was_giving_up = m_lease.giving_up();
    m_lease.announce(announcement, at);
    if (m_lease.giving_up() && !was_giving_up) {
        m_owner.stop_serving(at);
    }
    m_owner.table_changed();
}

void node_core::target_down(moment at) {
    m_owner.target_ended(at.now);
    m_lease.give_up(at);
    m_owner.stop_serving(at);
}

void node_core::begin_stop(moment) {
    m_lease.begin_stop();
    m_stop_begun = true;
    m_lease.renew_at_next_tick();
}

bool node_core::stopped() const {
    return m_stop_begun && m_lease.number() == no_target && m_owner.unfinished() == 0 &&
           m_router.unfinished() == 0;
}

std::uint64_t node_core::submit(caller_request request, moment at) {
    const std::uint64_t ticket = m_next_ticket++;
    m_router.submit(ticket, std::move(request), at);
    return ticket;
}

void node_core::call_finished(std::uint64_t call, call_result result, moment at) {
    m_owner.call_finished(call, std::move(result), at);
}

node_effects node_core::take_effects() {
    return std::exchange(m_effects, {});
}

} // namespace peppertack
