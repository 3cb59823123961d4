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
    if (!voter->start_core(std::move(*log), at)) {
        reason = voter->m_reason;
        return nullptr;
    }
    return voter;
}

bool durable_voter::start_core(durable_log log, moment at) {
    auto new_log = std::make_unique<durable_log>(std::move(log));
    std::unique_ptr<control_core> core =
        control_core::make(m_options.control, *new_log, m_audit, at, m_reason);
    if (!core) {
        return false;
    }
    m_core = std::move(core); // first, since the old core refers to the old log
    m_log = std::move(new_log);
    m_opened_at = at.now;
    return true;
}

durable_voter::disk_event durable_voter::check_disk(moment at) {
    if (!m_log->failed() || m_log_damaged) {
        return disk_event::none;
    }
    if (!m_disk_failed) {
        record_disk_failure(at);
        return disk_event::failed;
    }
    if (m_reopen_due) {
        return disk_event::none;
    }
    return at.now < m_retry_at ? disk_event::none : retry_open(at);
}

std::optional<durable_voter::disk_task> durable_voter::take_disk_task() {
    if (m_task_in_progress) {
        return std::nullopt;
    }
    if (m_reopen_due) {
        m_task_in_progress = true;
        return make_reopen_task();
    }
    std::optional<log_write> next = m_log->begin_write();
    if (!next) {
        return std::nullopt;
    }
    m_task_in_progress = true;
    auto outcome = std::make_shared<write_outcome>();
    return disk_task{.run =
                         [this, outcome, write = std::move(*next)] {
                             *outcome = perform(write, *m_files, m_options.log.sync_writes);
                         },
                     .finish =
                         [this, outcome](moment at) {
                             m_task_in_progress = false;
                             m_log->end_write(*outcome);
                             m_core->note_written(at);
                             return disk_event::none;
                         }};
}

durable_voter::disk_task durable_voter::make_reopen_task() {
    struct result {
        std::optional<durable_log> log;
        open_failure failure;
    };
    auto outcome = std::make_shared<result>();
    // A failed log no longer changes, so another thread may read it.
    return {.run = [failed = m_log.get(),
                    outcome] { outcome->log = durable_log::reopen(*failed, outcome->failure); },
            .finish =
                [this, outcome](moment at) {
                    m_task_in_progress = false;
                    m_reopen_due = false;
                    return finish_reopen(std::move(outcome->log), outcome->failure, at);
                }};
}

void durable_voter::record_disk_failure(moment at) {
    if (m_opened_at + m_options.retry_delay_reset_time <= at.now) {
        m_retry_delay = m_options.initial_retry_delay;
    }
    m_disk_failed = true;
    m_failed_at = at.now;
    m_reopen_attempts = 0;
    m_retry_at = at.now + m_retry_delay;
    m_reason = m_log->last_reason();
}

durable_voter::disk_event durable_voter::retry_open(moment at) {
    ++m_reopen_attempts;
    m_retry_delay = std::min(m_retry_delay * 2, m_options.max_retry_delay);
    m_retry_at = at.now + m_retry_delay;
    if (m_options.log.write_behind) {
        m_reopen_due = true;
        return disk_event::none;
    }
    open_failure failure;
    std::optional<durable_log> log = durable_log::reopen(*m_log, failure);
    return finish_reopen(std::move(log), failure, at);
}

durable_voter::disk_event durable_voter::finish_reopen(std::optional<durable_log> log,
                                                       const open_failure &failure, moment at) {
    if (log && start_core(std::move(*log), at)) {
        m_disk_failed = false;
        return disk_event::recovered;
    }
    if (!log) {
        m_reason = failure.reason;
    }
    m_log_damaged = log || !failure.retryable;
    return m_log_damaged ? disk_event::damaged : disk_event::none;
}

} // namespace peppertack
