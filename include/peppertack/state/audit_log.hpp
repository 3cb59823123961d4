#pragma once

#include "peppertack/state/audit_record.hpp"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace peppertack {

class storage;

/// A voter's own copy of the chain of decisions: files of JSON lines that are only ever appended to
/// and stay readable after the log was truncated. Not thread safe: it belongs to the thread of the
/// disk.
class audit_log {
public:
    struct options {
        std::size_t segment_records = 20'000; ///< records a file
        std::size_t max_segments = 10'000;    ///< older files are removed
        /// Records kept in memory while the disk refuses them; beyond, the oldest are given up. Far
        /// more than are decided in the seconds that a disk is full, a few megabytes at most.
        std::size_t max_pending_records = 1000;
    };

    /// Opens the archive and finds its end. A torn last line is cut off. Yields nothing, with the
    /// reason, if it can't be read.
    static std::optional<audit_log> open(storage &files, options settings, std::string &reason);

    /// Writes a record. One that is already held, as after a replay, is passed over; a gap, as
    /// after a snapshot, starts a new segment and is visible to `verify`. False if the disk refuses
    /// it: it waits then, and the next call writes it first.
    bool append(const audit_record &record);
    std::uint64_t last_sequence() const {
        return m_pending.empty() ? m_last : m_pending.back().sequence;
    }

    /// Every record held, oldest first, with those that wait for the disk.
    std::vector<audit_record> read_all() const;

private:
    audit_log(storage &files, options settings) : m_files(&files), m_options(settings) {}

    bool write(const audit_record &record);
    void begin_segment(const audit_record &first);

    storage *m_files;
    options m_options;
    std::string m_segment;
    std::size_t m_segment_size = 0;  ///< records
    std::size_t m_segment_bytes = 0; ///< of whole lines
    bool m_torn = false;             ///< the segment may hold a part of a line behind these
    std::deque<audit_record> m_pending;
    std::uint64_t m_last = 0;
};

/// Result of checking a chain of records.
struct chain_report {
    bool whole = true;
    std::uint64_t records = 0;
    std::vector<std::string> faults; ///< one line for people each
};

/// Checks every link. Gaps are reported as faults. Thread safe.
chain_report verify_chain(const std::vector<audit_record> &records);

} // namespace peppertack
