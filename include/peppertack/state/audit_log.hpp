#pragma once

#include "peppertack/state/audit_record.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace peppertack {

class storage;

/// A voter's own copy of the chain of decisions: files of JSON lines that are only ever appended to
/// and stay readable after the log was truncated. Not thread safe: it belongs to the control
/// thread.
class audit_log {
public:
    struct options {
        std::size_t segment_records = 20'000; ///< records a file
        std::size_t kept_segments = 10'000;   ///< older files are removed
    };

    /// Opens the archive and finds its end. A torn last line is cut off. Yields nothing, with the
    /// reason, if it can't be read.
    static std::optional<audit_log> open(storage &files, options settings, std::string &reason);

    /// Writes a record. One that is already held, as after a replay, is passed over; a gap, as
    /// after a snapshot, starts a new segment and is visible to `verify`.
    bool append(const audit_record &record);
    std::uint64_t last_sequence() const { return m_last; }

    /// Every record held, oldest first.
    std::vector<audit_record> read_all() const;

private:
    audit_log(storage &files, options settings) : m_files(&files), m_options(settings) {}

    storage *m_files;
    options m_options;
    std::string m_segment;
    std::size_t m_segment_size = 0;
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
