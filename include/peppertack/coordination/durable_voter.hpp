#pragma once

#include "peppertack/coordination/control_core.hpp"
#include "peppertack/state/durable_log.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace peppertack {

class storage;

/// The control part of a voter together with its log. When the disk refuses a write the part falls
/// silent, since it can promise nothing; once the disk takes writes and syncs again the log is
/// opened anew and a fresh part begins over it, as after a start of the process. Without that each
/// disk that was full for a moment would cost one of the agreed losses until somebody came.
/// Deterministic; not thread safe: it belongs to the control thread.
///
/// With `options::log.write_behind` the voter itself never waits for the disk: it yields tasks,
/// which are run apart from it.
class durable_voter {
public:
    struct options {
        control_options control;
        durable_log::options log;
        /// From the loss of the disk to the first try, and then doubled from try to try: each reads
        /// the whole log.
        duration initial_retry_delay = std::chrono::milliseconds(100);
        /// Well below the time that a voter is given to catch up, which is some seconds.
        duration max_retry_delay = std::chrono::seconds(1);
        /// The pauses begin small again after so long without a loss. A disk that takes the log and
        /// refuses what follows would be tried ten times a second.
        duration retry_delay_reset_time = std::chrono::seconds(10);
    };

    /// What a look at the disk found.
    enum class disk_event : std::uint8_t {
        none,
        failed,    ///< it refused a write
        recovered, ///< it takes writes again, and a fresh part has begun
        damaged,   ///< what it holds can't be used: this voter stays silent
    };

    /// A call to the disk. `run` blocks for as long as the disk takes; it may be called on any
    /// thread, but no other call to the storage may be made at the same time. `finish` belongs to
    /// the control thread and is called once `run` has returned.
    struct disk_task {
        std::function<void()> run;
        std::function<disk_event(moment)> finish;
    };

    /// Opens the log. Yields nothing, with the reason, if it can't be used. Precondition: `files`
    /// outlives the object.
    static std::unique_ptr<durable_voter> make(options settings, storage &files,
                                               control_core::audit_sink audit, moment at,
                                               std::string &reason);

    /// Valid until `check_disk` yields `recovered`.
    control_core &core() { return *m_core; }
    const control_core &core() const { return *m_core; }
    const durable_log &log() const { return *m_log; }

    /// The next call to the disk of a log that writes behind; nothing while one is under way. The
    /// object must outlive the task's `finish`.
    std::optional<disk_task> take_disk_task();

    /// Looks after the disk; called after each tick of the part, once its messages and answers were
    /// taken. All that waited for the old part has been answered when it yields `recovered`.
    disk_event check_disk(moment at);
    /// Why the disk was lost or could not be used at the last try.
    const std::string &last_reason() const { return m_reason; }
    /// From the last loss of the disk to `at`, and the tries since.
    duration outage_duration(moment at) const {
        return m_lost_at ? at.now - *m_lost_at : duration{};
    }
    unsigned int reopen_attempts() const { return m_tries; }

private:
    durable_voter(options settings, storage &files, control_core::audit_sink audit)
        : m_options(std::move(settings)), m_files(&files), m_audit(std::move(audit)),
          m_pause(m_options.initial_retry_delay) {}

    void note_loss(moment at);
    disk_event try_again(moment at);
    disk_task reopening();
    disk_event take_reopened(std::optional<durable_log> log, const open_failure &failure,
                             moment at);
    bool begin(durable_log log, moment at);

    options m_options;
    storage *m_files;
    control_core::audit_sink m_audit;
    std::unique_ptr<durable_log> m_log;
    std::unique_ptr<control_core> m_core;
    std::optional<instant> m_lost_at; ///< of the last loss, also when the disk is back
    bool m_away = false;
    bool m_damaged = false;
    bool m_reopen_due = false;
    bool m_disk_busy = false; ///< a task is under way
    instant m_back_at{};
    instant m_try_at{};
    duration m_pause;
    unsigned int m_tries = 0;
    std::string m_reason;
};

} // namespace peppertack
