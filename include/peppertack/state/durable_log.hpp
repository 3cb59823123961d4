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
    bool may_pass = false;
};

/// The voter's durable log: entries, vote and snapshot. Whatever a call reports as done has been
/// synced; after one failed write or sync every later call fails, so that a voter with a bad disk
/// stops taking part instead of promising what it can't keep. `reopen` begins anew from what the
/// disk holds. Not thread safe.
class durable_log {
public:
    struct options {
        bool sync_writes = true; ///< off only to plant a defect in tests, and in benches
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

    bool failed() const { return m_failed; }
    const std::string &last_reason() const { return m_reason; }

private:
    durable_log(storage &files, options settings) : m_files(&files), m_options(settings) {}

    bool load(open_failure &failure);
    bool load_snapshot(open_failure &failure);
    bool load_file(const std::string &name, open_failure &failure);
    bool take_frame(std::string_view body, std::string &reason);
    bool take_entry(log_entry entry, std::string &reason);
    bool write_frame(const std::string &body);
    bool start_file();
    bool store(const log_snapshot &snapshot);
    bool holds_promises_of(const durable_log &earlier) const;
    bool refused_by_disk(const std::string &what, open_failure &failure) const;
    bool fail(const std::string &what);

    storage *m_files;
    options m_options;
    vote_record m_vote;
    std::optional<log_snapshot> m_snapshot;
    std::uint64_t m_base_index = 0;
    std::uint64_t m_base_term = 0;
    std::deque<log_entry> m_entries;
    bool m_behind_snapshot = true; ///< while reading: what comes next follows the snapshot's entry
    std::string m_file;
    bool m_failed = false;
    std::string m_reason;
};

} // namespace peppertack
