#pragma once

#include "peppertack/state/audit_record.hpp"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace peppertack {

class storage;

/// A voter's local copy of the audit chain: append-only segment files of JSON lines, which are kept
/// when the replicated log is truncated. Not thread safe: used only on the disk thread.
class audit_log {
public:
    struct options {
        std::size_t segment_records = 20'000; ///< maximum records per segment
        std::size_t max_segments = 10'000;    ///< the oldest segments beyond this are removed
        /// Records buffered in memory while disk writes fail; beyond this the oldest are dropped.
        /// Far more than are committed in the seconds for which a disk is full, and a few megabytes
        /// at most.
        std::size_t max_pending_records = 1000;
    };

    /// Opens the archive and positions at its end. Truncates an incomplete last line. Returns
    /// nullopt and sets `reason` if the archive cannot be read.
    static std::optional<audit_log> open(storage &files, options settings, std::string &reason);

    /// Writes a record. Ignores a record that is already stored, as after a replay. A gap in the
    /// sequence, as after a snapshot, starts a new segment and is reported by `verify_chain`.
    /// Returns false on a disk error; the record stays pending and is written first by the next
    /// call.
    bool append(const audit_record &record);
    std::uint64_t last_sequence() const {
        return m_pending.empty() ? m_last : m_pending.back().sequence;
    }

    /// All stored records, oldest first, followed by the pending ones.
    std::vector<audit_record> read_all() const;

private:
    audit_log(storage &files, options settings) : m_files(&files), m_options(settings) {}

    bool write(const audit_record &record);
    void begin_segment(const audit_record &first);

    storage *m_files;
    options m_options;
    std::string m_segment;
    std::size_t m_segment_size = 0;  ///< records
    std::size_t m_segment_bytes = 0; ///< of complete lines
    bool m_torn = false;             ///< an incomplete line may follow `m_segment_bytes`
    std::deque<audit_record> m_pending;
    std::uint64_t m_last = 0;
};

/// Result of verifying an audit chain.
struct chain_report {
    bool intact = true;
    std::uint64_t records = 0;
    std::vector<std::string> faults; ///< human-readable, one line each
};

/// Verifies every link of the chain. Gaps are reported as faults. Thread safe.
chain_report verify_chain(const std::vector<audit_record> &records);

} // namespace peppertack
