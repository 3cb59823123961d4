#pragma once

#include "peppertack/coordination/control_core.hpp"
#include "peppertack/state/durable_log.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace peppertack {

class storage;

/// A voter's control core together with its durable log. When a write fails the core stops sending
/// and answering, since it can guarantee nothing. Once the disk accepts writes and syncs again, the
/// log is reopened and a new core is created over it, as after a process restart. Otherwise a disk
/// that was full for a moment would use up one tolerated failure until an operator steps in.
/// Deterministic. Not thread safe: use on the control thread only.
///
/// With `options::log.write_behind` the voter itself never blocks on the disk: it returns tasks,
/// which the caller runs on another thread.
class durable_voter {
public:
    struct options {
        control_options control;
        durable_log::options log;
        /// Delay from the disk failure to the first attempt to reopen the log. Doubles with each
        /// attempt, since each reads the whole log.
        duration initial_retry_delay = std::chrono::milliseconds(100);
        /// Well below the few seconds that a voter has to catch up.
        duration max_retry_delay = std::chrono::seconds(1);
        /// The delay is reset after this long without a failure. Resetting it on each success would
        /// make ten attempts per second on a disk that lets the log open and fails the next write.
        duration retry_delay_reset_time = std::chrono::seconds(10);
    };

    /// Result of a disk check.
    enum class disk_event : std::uint8_t {
        none,
        failed,    ///< a write failed
        recovered, ///< writes succeed again and a new core has been created
        damaged,   ///< the stored log is unusable; this voter stays inactive
    };

    /// A storage operation. `run` blocks until the disk is done; it may be called on any thread,
    /// but not concurrently with another call to the storage. Call `finish` on the control thread
    /// once `run` has returned.
    struct disk_task {
        std::function<void()> run;
        std::function<disk_event(moment)> finish;
    };

    /// Opens the log. Returns null and sets `reason` if the log cannot be used. Precondition:
    /// `files` outlives the object.
    static std::unique_ptr<durable_voter> make(options settings, storage &files,
                                               control_core::audit_sink audit, moment at,
                                               std::string &reason);

    /// The reference is valid until a disk check returns `recovered`.
    control_core &core() { return *m_core; }
    const control_core &core() const { return *m_core; }
    const durable_log &log() const { return *m_log; }

    /// Returns the next storage operation of a write-behind log; nothing while one is in progress.
    /// The object must outlive the task's `run` and `finish`.
    std::optional<disk_task> take_disk_task();

    /// Detects a disk failure and retries the log. Call after each tick of the core, once its
    /// messages and answers have been taken. When it returns `recovered`, all requests pending in
    /// the old core have been answered.
    disk_event check_disk(moment at);
    /// Reason of the disk failure or of the last failed attempt to reopen the log.
    const std::string &last_reason() const { return m_reason; }
    /// Time from the last disk failure to `at`.
    duration outage_duration(moment at) const {
        return m_failed_at ? at.now - *m_failed_at : duration{};
    }
    /// Attempts to reopen the log since the last disk failure.
    unsigned int reopen_attempts() const { return m_reopen_attempts; }

private:
    durable_voter(options settings, storage &files, control_core::audit_sink audit)
        : m_options(std::move(settings)), m_files(&files), m_audit(std::move(audit)),
          m_retry_delay(m_options.initial_retry_delay) {}

    void record_disk_failure(moment at);
    disk_event retry_open(moment at);
    disk_task make_reopen_task();
    disk_event finish_reopen(std::optional<durable_log> log, const open_failure &failure,
                             moment at);
    bool start_core(durable_log log, moment at);

    options m_options;
    storage *m_files;
    control_core::audit_sink m_audit;
    std::unique_ptr<durable_log> m_log;
    std::unique_ptr<control_core> m_core;
    std::optional<instant> m_failed_at; ///< last failure, kept after recovery
    bool m_disk_failed = false;
    bool m_log_damaged = false;
    bool m_reopen_due = false;
    bool m_task_in_progress = false;
    instant m_opened_at{};
    instant m_retry_at{};
    duration m_retry_delay;
    unsigned int m_reopen_attempts = 0;
    std::string m_reason;
};

} // namespace peppertack
