#include "peppertack/coordination/standby_replicator.hpp"

#include "peppertack/coordination/planted_defects.hpp"

#include <iterator>
#include <utility>

namespace peppertack {

std::vector<standby_waiter> standby_replicator::take_waiters() {
    std::vector<standby_waiter> waiters = std::exchange(m_batch_waiters, {});
    std::move(m_pending_waiters.begin(), m_pending_waiters.end(), std::back_inserter(waiters));
    m_pending_waiters.clear();
    return waiters;
}

std::vector<standby_waiter> standby_replicator::follow(target_number owner, const target_route &own,
                                                       const node_address &standby_address) {
    m_ready = own.standby_ready;
    if (owner == m_owner && own.standby == m_standby && own.standby_epoch == m_epoch) {
        m_address = standby_address;
        return {};
    }
    // The control state has recorded that the former copy does not count, so its waiters may
    // continue: a loss from now on is known to lose these keys.
    m_owner = owner;
    m_standby = own.standby;
    m_epoch = own.standby_epoch;
    m_address = standby_address;
    m_complete = false;
    m_need_all = m_standby != no_target;
    m_pending.clear();
    m_batch.reset();
    return take_waiters();
}

std::vector<standby_waiter> standby_replicator::reset() {
    return follow(no_target, target_route{}, {});
}

bool standby_replicator::add(const remembered_key &key, std::optional<standby_waiter> waiter) {
    if (m_standby == no_target) {
        return false;
    }
    m_pending.push_back(key);
    if (!waiter || !counts() || g_defects.skip_standby_ack) {
        return false;
    }
    m_pending_waiters.push_back(*waiter);
    return true;
}

bool standby_replicator::add_all(const std::vector<remembered_key> &keys, standby_waiter waiter) {
    if (m_standby == no_target) {
        return false;
    }
    m_pending.insert(m_pending.end(), keys.begin(), keys.end());
    if (!counts()) {
        return false;
    }
    m_pending_waiters.push_back(waiter);
    return true;
}

void standby_replicator::step(const idempotency_store &memory, instant now,
                              std::vector<outgoing> &messages) {
    if (m_standby == no_target || m_address.empty()) {
        return;
    }
    if (m_batch) {
        if (m_batch_sent + m_options.resend_interval <= now) {
            m_batch_sent = now;
            messages.push_back({m_address, *m_batch, true});
        }
        return;
    }
    if (!m_need_all && m_pending.empty() && m_pending_waiters.empty()) {
        return;
    }
    m_batch = remember_request{.sequence = ++m_batch_sequence,
                               .owner = m_owner,
                               .holder = m_standby,
                               .replace_all = m_need_all};
    m_batch->keys = m_need_all ? memory.all() : std::move(m_pending);
    m_pending.clear();
    m_batch_waiters = std::exchange(m_pending_waiters, {});
    m_batch_began = now;
    m_batch_sent = now;
    messages.push_back({m_address, *m_batch});
}

std::vector<standby_waiter> standby_replicator::receive(const remember_reply &reply) {
    if (!m_batch || reply.sequence != m_batch_sequence) {
        return {};
    }
    if (!reply.held) {
        // The standby lost its copy, so everything is sent again. Waiters keep waiting until that
        // is held, or until the control state records that the copy does not count.
        m_need_all = true;
        std::vector<standby_waiter> waiters = take_waiters();
        m_pending_waiters = std::move(waiters);
        m_pending.clear();
        m_batch.reset();
        return {};
    }
    if (m_batch->replace_all) {
        m_need_all = false;
        m_complete = true;
    }
    m_batch.reset();
    return std::exchange(m_batch_waiters, {});
}

void standby_replicator::report(renew_request &request, instant now) const {
    request.standby_epoch = m_epoch;
    if (m_standby == no_target) {
        return;
    }
    const bool silent = m_batch && m_batch_began + m_options.timeout < now;
    if (silent || (m_need_all && counts())) {
        request.unsynced_standby = m_standby;
    } else if (m_complete) {
        request.synced_standby = m_standby;
    }
}

} // namespace peppertack
