#include "peppertack/coordination/durable_voter.hpp"

#include <algorithm>

namespace peppertack {

std::unique_ptr<durable_voter> durable_voter::make(options settings, storage &files,
                                                   control_core::audit_sink audit, moment at,
                                                   std::string &reason) {
    std::optional<durable_log> log = durable_log::open(files, settings.log, reason);
    if (!log) {
        return nullptr;
    }
    std::unique_ptr<durable_voter> voter(new durable_voter(std::move(settings), std::move(audit)));
    if (!voter->begin(std::move(*log), at)) {
        reason = voter->m_reason;
        return nullptr;
    }
    return voter;
}

bool durable_voter::begin(durable_log log, moment at) {
    auto fresh = std::make_unique<durable_log>(std::move(log));
    std::unique_ptr<control_core> core =
        control_core::make(m_options.control, *fresh, m_audit, at, m_reason);
    if (!core) {
        return false;
    }
    m_core = std::move(core); // first: the old part still looks at the old log
    m_log = std::move(fresh);
    m_back_at = at.now;
    return true;
}

durable_voter::disk_news durable_voter::tend_disk(moment at) {
    if (!m_log->failed() || m_damaged) {
        return disk_news::none;
    }
    if (!m_away) {
        note_loss(at);
        return disk_news::lost;
    }
    return at.now < m_try_at ? disk_news::none : try_again(at);
}

void durable_voter::note_loss(moment at) {
    if (m_back_at + m_options.calm_time <= at.now) {
        m_pause = m_options.first_pause;
    }
    m_away = true;
    m_lost_at = at.now;
    m_tries = 0;
    m_try_at = at.now + m_pause;
    m_reason = m_log->last_reason();
}

durable_voter::disk_news durable_voter::try_again(moment at) {
    ++m_tries;
    m_pause = std::min(m_pause * 2, m_options.longest_pause);
    m_try_at = at.now + m_pause;
    open_failure failure;
    std::optional<durable_log> log = durable_log::reopen(*m_log, failure);
    if (log && begin(std::move(*log), at)) {
        m_away = false;
        return disk_news::back;
    }
    if (!log) {
        m_reason = failure.reason;
    }
    m_damaged = log || !failure.may_pass;
    return m_damaged ? disk_news::damaged : disk_news::none;
}

} // namespace peppertack
