#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace peppertack {

class storage;

enum class entry_kind : std::uint8_t {
    election, ///< first entry of a leader's term; carries nothing
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

/// State of the replicated state machine after entry `index`, with the membership in force there.
struct log_snapshot {
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    std::string members;
    std::string state;

    friend bool operator==(const log_snapshot &, const log_snapshot &) = default;
};

/// Why a log can't be opened.
struct open_failure {
    std::string reason;
    /// The disk refused a call; tried again later, it may give the log. False: what it holds is
    /// damaged, or less than was promised.
    bool retryable = false;
};

/// One write that a log needs: either records to append to a file and to sync, or a snapshot with
/// the file that follows it.
struct log_write {
    std::uint64_t number = 0; ///< of the last change that it holds
    std::string file;
    std::string records;      ///< encoded changes
    bool begins_file = false; ///< the records replace the file
    std::string snapshot;     ///< encoded, stored before the file begins; empty if there is none
    std::string obsolete;     ///< file to remove afterwards; empty if there is none
};

/// How a write ended.
struct write_outcome {
    bool written = true;
    std::string reason; ///< of a failure
};

/// Carries out a write. Blocks for as long as the disk takes. `sync` false leaves appended records
/// to the kernel. Thread safe as far as `files` is.
write_outcome perform(const log_write &write, storage &files, bool sync);

/// The voter's durable log: entries, vote and snapshot. After one failed write or sync every later
/// call fails, so that a voter with a bad disk stops taking part instead of promising what it can't
/// keep. `reopen` begins anew from what the disk holds. Not thread safe.
///
/// By default a call returns once its change has been synced. With `write_behind` it returns at
/// once: the change counts for all readers of the log, and its write waits for `begin_write`.
/// Writes are made in the order of the changes, so what the disk holds is always a state that the
/// log had. `durable_index` and `vote_durable` tell what may be promised to others.
class durable_log {
public:
    struct options {
        bool sync_writes = true; ///< off only to plant a defect in tests, and in benches
        bool write_behind = false;
    };

    /// Opens or creates the log. A tail that was never synced is cut off. Yields nothing, with the
    /// reason, if a synced part is damaged: guessing there could forget an acknowledged decision.
    static std::optional<durable_log> open(storage &files, options settings, std::string &reason);
    static std::optional<durable_log> open(storage &files, std::string &reason) {
        return open(files, options{}, reason);
    }
    /// Opens the log again after `failed` could not write, and writes all of it anew, so that the
    /// disk has shown that it takes writes and syncs. Yields nothing, with the reason, if the disk
    /// still refuses, or if it holds less than `failed` had promised.
    static std::optional<durable_log> reopen(const durable_log &failed, open_failure &failure);

    const vote_record &vote() const { return m_vote; }
    const std::optional<log_snapshot> &snapshot() const { return m_snapshot; }
    std::uint64_t first_index() const { return m_base_index + 1; }
    std::uint64_t last_index() const { return m_base_index + m_entries.size(); }
    /// Term of the entry at `index`; nothing if it is not held. The snapshot's own index is held.
    std::optional<std::uint64_t> term_at(std::uint64_t index) const;
    const log_entry *entry_at(std::uint64_t index) const;

    bool save_vote(const vote_record &vote);
    /// Writes entries that follow each other, replacing any held from the first one's index on, and
    /// syncs once. Precondition: the first is at most `last_index() + 1` and above the snapshot.
    bool append(const std::vector<log_entry> &entries);
    /// Stores a snapshot and drops the entries it covers.
    bool save_snapshot(const log_snapshot &snapshot);

    /// The next write, which covers all changes that may share a sync; nothing while one is under
    /// way. It is passed to `perform`, on any thread, and its outcome to `end_write`.
    std::optional<log_write> begin_write();
    /// Ends the write that was taken last.
    void end_write(const write_outcome &outcome);

    const options &settings() const { return m_options; }
    /// Number of the last change, and of the last one that has been synced.
    std::uint64_t staged() const { return m_staged; }
    std::uint64_t written() const { return m_written; }
    /// Last entry up to which this log has been synced as it is now.
    std::uint64_t durable_index() const { return m_durable.last_index; }
    /// Whether the current vote, with its term, has been synced.
    bool vote_durable() const { return m_durable.vote == m_vote; }

    bool failed() const { return m_failed; }
    const std::string &last_reason() const { return m_reason; }

private:
    /// What the disk holds once the change `number` has been synced.
    struct position {
        std::uint64_t number = 0;
        vote_record vote;
        std::uint64_t base_index = 0;
        std::uint64_t last_index = 0;
    };

    durable_log(storage &files, options settings) : m_files(&files), m_options(settings) {}

    bool load(open_failure &failure);
    bool load_snapshot(open_failure &failure);
    bool load_file(const std::string &name, open_failure &failure);
    bool take_frame(std::string_view body, std::string &reason);
    bool take_entry(log_entry entry, std::string &reason);
    bool stage(log_write write);
    bool stage_records(std::string records);
    void note_staged();
    void note_durable();
    void truncate_positions(std::uint64_t last_index);
    log_write initial_write();
    bool write_initial(const log_write &write);
    bool holds_durable_state_of(const durable_log &earlier) const;
    bool refused_by_disk(const std::string &what, open_failure &failure) const;
    bool fail(const std::string &reason);

    storage *m_files;
    options m_options;
    vote_record m_vote;
    std::optional<log_snapshot> m_snapshot;
    std::uint64_t m_base_index = 0;
    std::uint64_t m_base_term = 0;
    std::deque<log_entry> m_entries;
    bool m_follows_snapshot = true; ///< while reading: what comes next follows the snapshot's entry
    std::string m_file;
    std::deque<log_write> m_writes; ///< that wait; at most the last one still takes changes
    bool m_writing = false;
    std::uint64_t m_staged = 0;
    std::uint64_t m_written = 0;
    std::uint64_t m_writing_up_to = 0; ///< of the write under way
    position m_durable;
    std::deque<position> m_positions; ///< of the changes that are not durable yet
    bool m_failed = false;
    std::string m_reason;
};

} // namespace peppertack
