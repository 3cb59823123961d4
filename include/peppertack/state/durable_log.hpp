#pragma once

#include "peppertack/state/storage.hpp"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace peppertack {

enum class entry_kind : std::uint8_t {
    election, ///< first entry of a leader's term; no payload
    command,  ///< payload is an encoded command
    members,  ///< payload is an encoded membership
};

struct log_entry {
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    entry_kind kind = entry_kind::election;
    std::string payload;

    friend bool operator==(const log_entry &, const log_entry &) = default;
};

struct vote_record {
    std::uint64_t term = 0;
    std::string voted_for;

    friend bool operator==(const vote_record &, const vote_record &) = default;
};

/// State of the replicated state machine after entry `index`, with the membership at that index.
struct log_snapshot {
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    std::string members;
    std::string state;

    friend bool operator==(const log_snapshot &, const log_snapshot &) = default;
};

/// Reason why a log can't be opened.
struct open_failure {
    std::string reason;
    /// Set for disk errors, where opening may succeed later. Not set if the stored data is damaged
    /// or lacks acknowledged data.
    bool retryable = false;
};

/// One write of the log: either records to append to a file and sync, or a snapshot with the log
/// file that follows it.
struct log_write {
    std::uint64_t number = 0; ///< number of the last change in this write
    std::string file;
    std::string records;      ///< encoded changes
    bool begins_file = false; ///< the records replace the file's content
    /// The file is synced before the records, if any, are appended: behind another write that is
    /// not synced they would make a torn log look damaged.
    bool syncs_first = false;
    std::string snapshot; ///< encoded; stored before the file is written; empty if none
    std::string obsolete; ///< file to remove afterwards; empty if none
    std::optional<stored_file> companion; ///< replaced together with the file that begins
};

/// Result of a write.
struct write_outcome {
    bool written = true;
    std::string reason; ///< set on failure
};

/// Executes a write. Blocks on disk I/O. With `sync` false, appended records are left in the page
/// cache. Thread safe if `files` is.
write_outcome perform(const log_write &write, storage &files, bool sync);

///
/// The voter's durable log: entries, vote and snapshot. After a failed write or sync all later
/// calls fail, so that a voter with a faulty disk stops participating instead of acknowledging data
/// that it can't persist. `reopen` starts again from the data on disk. Not thread safe.
///
/// By default, calls return after their change has been synced. With `write_behind` they return
/// immediately: the change is visible to all readers of the log, and its write is queued for
/// `begin_write`. Writes are issued in the order of the changes, so the disk always holds a state
/// that the log had. `durable_index` and `vote_durable` report what may be acknowledged to other
/// voters.
class durable_log {
public:
    struct options {
        bool sync_writes = true; ///< disabled only for fault injection in tests and in benchmarks
        bool write_behind = false;
        /// A file without which the log must not be used. It is stored together with the first file
        /// of the log, so before anything is reported as durable, or by `open` if there is a log.
        std::optional<stored_file> companion;
    };

    /// Opens the log. A new log has no file until its first change, so that opening it waits for no
    /// sync. What another process left is durable once it was synced again, which is the first
    /// write: that process may have been killed before its sync. Truncates a torn tail. Returns
    /// nullopt and sets `reason` if synced data is damaged, since skipping it could lose an
    /// acknowledged decision.
    static std::optional<durable_log> open(storage &files, options settings, std::string &reason);
    static std::optional<durable_log> open(storage &files, std::string &reason) {
        return open(files, options{}, reason);
    }
    /// Reopens the log after a write of `failed` did not succeed, and rewrites it completely to
    /// verify that the disk accepts writes and syncs. Returns nullopt if the disk still fails, or
    /// if it lacks data that `failed` had reported as durable.
    static std::optional<durable_log> reopen(const durable_log &failed, open_failure &failure);

    const vote_record &vote() const { return m_vote; }
    const std::optional<log_snapshot> &snapshot() const { return m_snapshot; }
    std::uint64_t first_index() const { return m_base_index + 1; }
    std::uint64_t last_index() const { return m_base_index + m_entries.size(); }
    /// Term of the entry at `index`, which may be the snapshot's index; nullopt if the entry is not
    /// stored.
    std::optional<std::uint64_t> term_at(std::uint64_t index) const;
    const log_entry *entry_at(std::uint64_t index) const;

    bool save_vote(const vote_record &vote);
    /// Writes consecutive entries with one sync, and replaces any stored entries from the first
    /// one's index on. Precondition: the first index is at most `last_index() + 1` and above the
    /// snapshot.
    bool append(const std::vector<log_entry> &entries);
    /// Stores a snapshot and drops the entries that it covers.
    bool save_snapshot(const log_snapshot &snapshot);

    /// Returns the next write, which holds all queued changes that can share a sync; nullopt if
    /// there is none or one is in progress. Run it with `perform` on any thread, and pass the
    /// outcome to `end_write`.
    std::optional<log_write> begin_write();
    /// Completes the write returned by the last `begin_write`.
    void end_write(const write_outcome &outcome);

    const options &settings() const { return m_options; }
    /// Numbers of the last staged change and of the last synced one.
    std::uint64_t staged() const { return m_staged; }
    std::uint64_t written() const { return m_written; }
    /// Last index up to which the current entries have been synced.
    std::uint64_t durable_index() const { return loaded_synced() ? m_durable.last_index : 0; }
    /// Whether the current vote and its term have been synced.
    bool vote_durable() const { return loaded_synced() && m_durable.vote == m_vote; }

    bool failed() const { return m_failed; }
    const std::string &last_reason() const { return m_reason; }

private:
    /// Content of the disk once the change `number` has been synced.
    struct position {
        std::uint64_t number = 0;
        vote_record vote;
        std::uint64_t base_index = 0;
        std::uint64_t last_index = 0;
    };

    durable_log(storage &files, options settings)
        : m_files(&files), m_options(std::move(settings)) {}

    bool load(open_failure &failure);
    bool load_snapshot(open_failure &failure);
    bool load_file(const std::string &name, open_failure &failure);
    bool load_frame(std::string_view body, std::string &reason);
    bool load_entry(log_entry entry, std::string &reason);
    bool stage(log_write write);
    bool stage_records(std::string records);
    bool loaded_synced() const { return m_written >= m_loaded_synced_by; }
    void sync_loaded();
    void record_position();
    void advance_durable();
    void truncate_positions(std::uint64_t last_index);
    log_write initial_write();
    void begin_file(log_write &write);
    bool write_initial(const log_write &write);
    bool holds_durable_state_of(const durable_log &earlier) const;
    bool set_disk_error(const std::string &what, open_failure &failure) const;
    bool fail(const std::string &reason);

    storage *m_files;
    options m_options;
    vote_record m_vote;
    std::optional<log_snapshot> m_snapshot;
    std::uint64_t m_base_index = 0;
    std::uint64_t m_base_term = 0;
    std::deque<log_entry> m_entries;
    bool m_follows_snapshot =
        true; ///< while loading: the next entries continue the snapshot's history
    std::string m_file;
    bool m_file_begun = false;      ///< the first file of the log exists, or its write is queued
    std::deque<log_write> m_writes; ///< queued; only the last one accepts further changes
    bool m_writing = false;
    std::uint64_t m_staged = 0;
    std::uint64_t m_written = 0;
    std::uint64_t m_writing_up_to = 0; ///< last change of the write in progress
    /// Number of the change that syncs what `open` has read.
    std::uint64_t m_loaded_synced_by = 0;
    position m_durable;               ///< as soon as what `open` has read is synced
    std::deque<position> m_positions; ///< of the changes that are not durable
    bool m_failed = false;
    std::string m_reason;
};

} // namespace peppertack
