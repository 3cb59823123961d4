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
    std::unique_ptr<durable_voter> voter(
        new durable_voter(std::move(settings), files, std::move(audit)));
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

durable_voter::disk_event durable_voter::check_disk(moment at) {
    if (!m_log->failed() || m_damaged) {
        return disk_event::none;
    }
    if (!m_away) {
        note_loss(at);
        return disk_event::failed;
    }
    if (m_reopen_due) {
        return disk_event::none;
    }
    return at.now < m_try_at ? disk_event::none : try_again(at);
}

std::optional<durable_voter::disk_task> durable_voter::take_disk_task() {
    if (m_disk_busy) {
        return std::nullopt;
    }
    if (m_reopen_due) {
        m_disk_busy = true;
        return reopening();
    }
    std::optional<log_write> next = m_log->take_write();
    if (!next) {
        return std::nullopt;
    }
    m_disk_busy = true;
    auto outcome = std::make_shared<write_outcome>();
    return disk_task{.run =
                         [this, outcome, write = std::move(*next)] {
                             *outcome = perform(write, *m_files, m_options.log.sync_writes);
                         },
                     .finish =
                         [this, outcome](moment at) {
                             m_disk_busy = false;
                             m_log->note_written(*outcome);
                             m_core->note_written(at);
                             return disk_event::none;
                         }};
}

durable_voter::disk_task durable_voter::reopening() {
    struct result {
        std::optional<durable_log> log;
        open_failure failure;
    };
    auto found = std::make_shared<result>();
    // The failed log is not changed any more, so it can be read meanwhile.
    return {.run = [failed = m_log.get(),
                    found] { found->log = durable_log::reopen(*failed, found->failure); },
            .finish =
                [this, found](moment at) {
                    m_disk_busy = false;
                    m_reopen_due = false;
                    return take_reopened(std::move(found->log), found->failure, at);
                }};
}

void durable_voter::note_loss(moment at) {
    if (m_back_at + m_options.retry_delay_reset_time <= at.now) {
        m_pause = m_options.initial_retry_delay;
    }
    m_away = true;
    m_lost_at = at.now;
    m_tries = 0;
    m_try_at = at.now + m_pause;
    m_reason = m_log->last_reason();
}

durable_voter::disk_event durable_voter::try_again(moment at) {
    ++m_tries;
    m_pause = std::min(m_pause * 2, m_options.max_retry_delay);
    m_try_at = at.now + m_pause;
    if (m_options.log.write_behind) {
        m_reopen_due = true;
        return disk_event::none;
    }
    open_failure failure;
    std::optional<durable_log> log = durable_log::reopen(*m_log, failure);
    return take_reopened(std::move(log), failure, at);
}

durable_voter::disk_event durable_voter::take_reopened(std::optional<durable_log> log,
                                                       const open_failure &failure, moment at) {
    if (log && begin(std::move(*log), at)) {
        m_away = false;
        return disk_event::recovered;
    }
    if (!log) {
        m_reason = failure.reason;
    }
    m_damaged = log || !failure.may_pass;
    return m_damaged ? disk_event::damaged : disk_event::none;
}

} // namespace peppertack
