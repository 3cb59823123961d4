#include "peppertack/state/durable_log.hpp"

#include <algorithm>
#include <cassert>
#include <cstring>
#include <xxhash.h>

namespace peppertack {

namespace {

// A log file is a sequence of frames:
//
//   | magic 4 | version 1 | body size 4 | checksum 8 | body ... |
//
// Each write is one frame with one sync, so at most the last frame can be torn. The checksum covers
// version, size and body. Numbers are little endian.
constexpr std::string_view frame_mark = "PTL\x1f";
constexpr std::uint8_t frame_version = 1;
constexpr std::size_t header_size = 4 + 1 + 4 + 8;
constexpr std::size_t max_body = 1U << 30U;
constexpr std::size_t max_write_bytes = 16U << 20U;
constexpr const char *snapshot_file = "snapshot";
constexpr const char *log_prefix = "log-";

enum class record_kind : std::uint8_t { vote = 1, entry = 2 };

template <class Number> void put(std::string &out, Number value) {
    for (std::size_t i = 0; i < sizeof(Number); ++i) {
        out += static_cast<char>((static_cast<std::uint64_t>(value) >> (8 * i)) & 0xffU);
    }
}

void put_text(std::string &out, std::string_view text) {
    put(out, static_cast<std::uint32_t>(text.size()));
    out.append(text);
}

class reader {
public:
    explicit reader(std::string_view bytes) : m_bytes(bytes) {}

    bool ok() const { return m_ok; }
    bool at_end() const { return m_bytes.empty(); }

    template <class Number> Number number() {
        if (m_bytes.size() < sizeof(Number)) {
            m_ok = false;
            m_bytes = {};
            return 0;
        }
        std::uint64_t value = 0;
        for (std::size_t i = 0; i < sizeof(Number); ++i) {
            value |= static_cast<std::uint64_t>(static_cast<unsigned char>(m_bytes[i])) << (8 * i);
        }
        m_bytes.remove_prefix(sizeof(Number));
        return static_cast<Number>(value);
    }

    std::string text() {
        const auto size = number<std::uint32_t>();
        if (m_bytes.size() < size) {
            m_ok = false;
            m_bytes = {};
            return {};
        }
        std::string result(m_bytes.substr(0, size));
        m_bytes.remove_prefix(size);
        return result;
    }

private:
    std::string_view m_bytes;
    bool m_ok = true;
};

std::uint64_t frame_checksum(std::uint8_t version, std::string_view body) {
    return XXH3_64bits_withSeed(body.data(), body.size(), (body.size() << 8U) | version);
}

std::string make_frame(std::string_view body) {
    std::string frame(frame_mark);
    put(frame, frame_version);
    put(frame, static_cast<std::uint32_t>(body.size()));
    put(frame, frame_checksum(frame_version, body));
    frame.append(body);
    return frame;
}

enum class frame_state { valid, torn, damaged, unsupported_version };

struct frame {
    frame_state state = frame_state::torn;
    std::string_view body;
    std::size_t size = 0;
};

frame read_frame(std::string_view bytes) {
    if (bytes.size() < header_size) {
        return {};
    }
    reader header(bytes.substr(frame_mark.size(), header_size - frame_mark.size()));
    const auto version = header.number<std::uint8_t>();
    const auto size = header.number<std::uint32_t>();
    const auto checksum = header.number<std::uint64_t>();
    if (bytes.substr(0, frame_mark.size()) != frame_mark || size > max_body) {
        return {.state = frame_state::damaged};
    }
    if (bytes.size() - header_size < size) {
        return {};
    }
    const std::string_view body = bytes.substr(header_size, size);
    if (frame_checksum(version, body) != checksum) {
        return {.state = frame_state::damaged};
    }
    if (version != frame_version) {
        return {.state = frame_state::unsupported_version};
    }
    return {.state = frame_state::valid, .body = body, .size = header_size + size};
}

/// Whether a valid frame follows an invalid one. Only the last write can be torn, so a valid frame
/// after an invalid one means that synced data was damaged.
bool valid_frame_follows(std::string_view bytes) {
    for (std::size_t at = bytes.find(frame_mark, 1); at != std::string_view::npos;
         at = bytes.find(frame_mark, at + 1)) {
        if (read_frame(bytes.substr(at)).state == frame_state::valid) {
            return true;
        }
    }
    return false;
}

void put_entry(std::string &body, const log_entry &entry) {
    put(body, static_cast<std::uint8_t>(record_kind::entry));
    put(body, entry.index);
    put(body, entry.term);
    put(body, static_cast<std::uint8_t>(entry.kind));
    put_text(body, entry.payload);
}

void put_vote(std::string &body, const vote_record &vote) {
    put(body, static_cast<std::uint8_t>(record_kind::vote));
    put(body, vote.term);
    put_text(body, vote.voted_for);
}

std::string encode(const log_snapshot &snapshot) {
    std::string body;
    put(body, snapshot.index);
    put(body, snapshot.term);
    put_text(body, snapshot.members);
    put_text(body, snapshot.state);
    return body;
}

/// The vote is written first: if it were missing, a voter could vote twice in one term after a
/// restart.
std::string file_records(const vote_record &vote, const std::deque<log_entry> &entries) {
    std::string records;
    put_vote(records, vote);
    for (const log_entry &entry : entries) {
        put_entry(records, entry);
    }
    return records;
}

std::string file_name(std::uint64_t base_index) {
    std::string digits = std::to_string(base_index);
    digits.insert(0, 20 - digits.size(), '0');
    return log_prefix + digits;
}

} // namespace

write_outcome perform(const log_write &write, storage &files, bool sync) {
    const auto failed = [&](const std::string &what) {
        return write_outcome{.written = false, .reason = what + ": " + files.last_reason()};
    };
    if (!write.snapshot.empty() && !files.replace(snapshot_file, make_frame(write.snapshot))) {
        return failed("can't store the snapshot");
    }
    if (write.begins_file) {
        std::vector<stored_file> stored{{.name = write.file, .bytes = make_frame(write.records)}};
        if (write.companion) {
            stored.push_back(*write.companion);
        }
        if (!files.replace_all(stored)) {
            return failed("can't start " + write.file);
        }
        if (!write.obsolete.empty()) {
            files.remove(write.obsolete);
        }
        return {};
    }
    const auto synced = [&] { return !sync || files.sync(write.file); };
    if (write.syncs_first && !synced()) {
        return failed("can't sync " + write.file);
    }
    if (write.records.empty()) {
        return {};
    }
    if (!files.append(write.file, make_frame(write.records))) {
        return failed("can't write " + write.file);
    }
    if (!synced()) {
        return failed("can't sync " + write.file);
    }
    return {};
}

std::optional<durable_log> durable_log::open(storage &files, options settings,
                                             std::string &reason) {
    durable_log log(files, std::move(settings));
    open_failure failure;
    if (!log.load(failure)) {
        reason = failure.reason;
        return std::nullopt;
    }
    log.m_durable = {
        .vote = log.m_vote, .base_index = log.m_base_index, .last_index = log.last_index()};
    log.sync_loaded();
    return log;
}

std::optional<durable_log> durable_log::reopen(const durable_log &failed, open_failure &failure) {
    durable_log log(*failed.m_files, failed.m_options);
    if (!log.load(failure)) {
        return std::nullopt;
    }
    if (!log.holds_durable_state_of(failed)) {
        failure = {.reason = "the disk lacks data that this voter acknowledged; replace this voter "
                             "by a new one"};
        return std::nullopt;
    }
    // The data read may exist only in the page cache: pages that a failed sync dropped read back as
    // written but never reach the disk, whatever later syncs report. New files contain no such
    // pages.
    log_write write = log.initial_write();
    if (log.m_snapshot) {
        write.snapshot = encode(*log.m_snapshot);
    }
    if (!log.write_initial(write)) {
        failure = {.reason = log.m_reason, .retryable = true};
        return std::nullopt;
    }
    log.m_durable = {
        .vote = log.m_vote, .base_index = log.m_base_index, .last_index = log.last_index()};
    return log;
}

/// The failed write may have reached the disk, so the disk may hold more than was acknowledged: a
/// later vote, or entries of a later term in place of others. Holding less would mean that a vote
/// could be given twice or that an acknowledged entry is lost.
bool durable_log::holds_durable_state_of(const durable_log &earlier) const {
    const vote_record &promised = earlier.m_durable.vote;
    const bool same_term = m_vote.term == promised.term;
    const bool vote_held = m_vote.term > promised.term || m_vote == promised ||
                           (same_term && promised.voted_for.empty());
    if (!vote_held || m_base_index < earlier.m_durable.base_index) {
        return false;
    }
    // Entries covered by a snapshot that was not written yet can no longer be compared.
    std::uint64_t index = std::max(m_base_index, earlier.m_base_index);
    for (; index <= earlier.m_durable.last_index; ++index) {
        const std::optional<std::uint64_t> held = term_at(index);
        const std::uint64_t wanted = earlier.term_at(index).value_or(0);
        if (held != wanted) {
            return held > wanted; // nullopt compares less than any term
        }
    }
    return true;
}

bool durable_log::set_disk_error(const std::string &what, open_failure &failure) const {
    failure = {.reason = what + ": " + m_files->last_reason(), .retryable = true};
    return false;
}

bool durable_log::load(open_failure &failure) {
    const std::optional<std::vector<std::string>> names = m_files->list();
    if (!names) {
        return set_disk_error("can't read the data folder", failure);
    }
    const bool has_snapshot = std::binary_search(names->begin(), names->end(), snapshot_file);
    if (has_snapshot && !load_snapshot(failure)) {
        return false;
    }
    // After a crash between storing a snapshot and creating its log file, the newest file is the
    // previous one; the entries in it that the snapshot covers are skipped while loading.
    std::vector<std::string> logs;
    for (const std::string &name : *names) {
        if (name.rfind(log_prefix, 0) == 0) {
            logs.push_back(name);
        }
    }
    if (logs.empty()) {
        m_file = file_name(m_base_index);
        return true;
    }
    m_file = logs.back();
    m_file_begun = true;
    const std::optional<stored_file> &companion = m_options.companion;
    if (companion && !std::binary_search(names->begin(), names->end(), companion->name) &&
        !m_files->replace(companion->name, companion->bytes)) {
        return set_disk_error("can't store " + companion->name, failure);
    }
    if (!load_file(m_file, failure)) {
        return false;
    }
    logs.pop_back();
    for (const std::string &name : logs) {
        m_files->remove(name);
    }
    return true;
}

bool durable_log::load_snapshot(open_failure &failure) {
    const std::optional<std::string> bytes = m_files->read(snapshot_file);
    if (!bytes) {
        return set_disk_error(std::string("can't read ") + snapshot_file, failure);
    }
    const frame valid = read_frame(*bytes);
    if (valid.state != frame_state::valid) {
        failure = {.reason = "the snapshot file is damaged; replace this voter by a new one"};
        return false;
    }
    reader in(valid.body);
    log_snapshot snapshot;
    snapshot.index = in.number<std::uint64_t>();
    snapshot.term = in.number<std::uint64_t>();
    snapshot.members = in.text();
    snapshot.state = in.text();
    if (!in.ok() || !in.at_end()) {
        failure = {.reason = "the snapshot file has an unknown format"};
        return false;
    }
    m_base_index = snapshot.index;
    m_base_term = snapshot.term;
    m_snapshot = std::move(snapshot);
    return true;
}

bool durable_log::load_file(const std::string &name, open_failure &failure) {
    const std::optional<std::string> bytes = m_files->read(name);
    if (!bytes) {
        return set_disk_error("can't read " + name, failure);
    }
    std::size_t at = 0;
    while (at < bytes->size()) {
        const std::string_view rest = std::string_view(*bytes).substr(at);
        const frame next = read_frame(rest);
        if (next.state == frame_state::unsupported_version) {
            failure = {.reason = name + " at byte " + std::to_string(at) +
                                 ": frame version not supported"};
            return false;
        }
        if (next.state != frame_state::valid) {
            if (valid_frame_follows(rest)) {
                failure = {.reason = name + " is damaged at byte " + std::to_string(at) +
                                     " before its end; replace this voter by a new one"};
                return false;
            }
            break;
        }
        std::string reason;
        if (!load_frame(next.body, reason)) {
            failure = {.reason = reason.insert(0, name + " at byte " + std::to_string(at) + ": ")};
            return false;
        }
        at += next.size;
    }
    if (at < bytes->size() && !m_files->truncate(name, at)) {
        return set_disk_error("can't truncate the torn tail of " + name, failure);
    }
    return true;
}

bool durable_log::load_frame(std::string_view body, std::string &reason) {
    reader in(body);
    while (in.ok() && !in.at_end()) {
        const auto kind = static_cast<record_kind>(in.number<std::uint8_t>());
        if (kind == record_kind::vote) {
            m_vote.term = in.number<std::uint64_t>();
            m_vote.voted_for = in.text();
        } else if (kind == record_kind::entry) {
            log_entry entry;
            entry.index = in.number<std::uint64_t>();
            entry.term = in.number<std::uint64_t>();
            entry.kind = static_cast<entry_kind>(in.number<std::uint8_t>());
            entry.payload = in.text();
            if (in.ok() && !load_entry(std::move(entry), reason)) {
                return false;
            }
        } else {
            reason = "unknown record kind";
            return false;
        }
    }
    if (!in.ok()) {
        reason = "a record is truncated: the frame ends before its last field";
    }
    return in.ok();
}

bool durable_log::load_entry(log_entry entry, std::string &reason) {
    if (entry.index <= m_base_index) {
        // This entry replaced all entries after it, and entries that follow a different entry than
        // the snapshot's last one belong to another history. Keeping either could make the log
        // appear to end in an earlier term, and this voter would vote for a candidate that lacks
        // committed entries.
        m_entries.clear();
        m_follows_snapshot = entry.index < m_base_index || entry.term == m_base_term;
        return true;
    }
    if (!m_follows_snapshot) {
        return true;
    }
    if (entry.index > last_index() + 1) {
        reason = "entry " + std::to_string(entry.index) + " is not contiguous with entry " +
                 std::to_string(last_index());
        return false;
    }
    m_entries.resize(entry.index - m_base_index - 1);
    m_entries.push_back(std::move(entry));
    return true;
}

std::optional<std::uint64_t> durable_log::term_at(std::uint64_t index) const {
    if (index == m_base_index) {
        return m_base_term;
    }
    const log_entry *entry = entry_at(index);
    return entry == nullptr ? std::nullopt : std::optional(entry->term);
}

const log_entry *durable_log::entry_at(std::uint64_t index) const {
    if (index <= m_base_index || index > last_index()) {
        return nullptr;
    }
    return &m_entries[index - m_base_index - 1];
}

bool durable_log::save_vote(const vote_record &vote) {
    std::string records;
    put_vote(records, vote);
    if (!stage_records(std::move(records))) {
        return false;
    }
    m_vote = vote;
    record_position();
    return true;
}

bool durable_log::append(const std::vector<log_entry> &entries) {
    assert(!entries.empty());
    assert(entries.front().index > m_base_index && entries.front().index <= last_index() + 1);
    std::string records;
    for (const log_entry &entry : entries) {
        put_entry(records, entry);
    }
    if (!stage_records(std::move(records))) {
        return false;
    }
    truncate_positions(entries.front().index - 1);
    m_entries.resize(entries.front().index - m_base_index - 1);
    m_entries.insert(m_entries.end(), entries.begin(), entries.end());
    record_position();
    return true;
}

bool durable_log::save_snapshot(const log_snapshot &snapshot) {
    if (m_failed || snapshot.index <= m_base_index) {
        return !m_failed;
    }
    const bool retains_tail = term_at(snapshot.index) == snapshot.term;
    std::deque<log_entry> kept;
    if (retains_tail) {
        const auto covered = static_cast<std::ptrdiff_t>(snapshot.index - m_base_index);
        kept.assign(m_entries.begin() + covered, m_entries.end());
    }
    log_write write{.file = file_name(snapshot.index),
                    .records = file_records(m_vote, kept),
                    .begins_file = true,
                    .snapshot = encode(snapshot)};
    begin_file(write);
    const std::string file = write.file;
    if (!stage(std::move(write))) {
        return false;
    }
    if (!retains_tail) {
        truncate_positions(m_base_index);
    }
    m_entries = std::move(kept);
    m_base_index = snapshot.index;
    m_base_term = snapshot.term;
    m_snapshot = snapshot;
    m_file = file;
    record_position();
    return true;
}

/// Initial content of the log file that follows the snapshot.
log_write durable_log::initial_write() {
    log_write write{.file = file_name(m_base_index),
                    .records = file_records(m_vote, m_entries),
                    .begins_file = true};
    begin_file(write);
    return write;
}

/// Completes a write that begins a file.
void durable_log::begin_file(log_write &write) {
    if (!m_file_begun) {
        write.companion = m_options.companion;
    } else if (m_file != write.file) {
        write.obsolete = m_file;
    }
    m_file_begun = true;
}

bool durable_log::write_initial(const log_write &write) {
    const write_outcome outcome = perform(write, *m_files, true);
    m_file = write.file;
    return outcome.written || fail(outcome.reason);
}

// ---- writes ----

bool durable_log::stage_records(std::string records) {
    if (!m_file_begun) {
        log_write write = initial_write();
        write.records += records;
        return stage(std::move(write));
    }
    if (m_writes.empty() || !m_writes.back().snapshot.empty() ||
        m_writes.back().records.size() + records.size() > max_write_bytes) {
        return stage({.file = m_file, .records = std::move(records)});
    }
    // Kept in one frame, so that only the last frame of the file can be torn.
    m_writes.back().records += records;
    m_writes.back().number = ++m_staged;
    return true;
}

bool durable_log::stage(log_write write) {
    if (m_failed) {
        return false;
    }
    write.number = ++m_staged;
    m_writes.push_back(std::move(write));
    if (m_options.write_behind) {
        return true;
    }
    end_write(perform(*begin_write(), *m_files, m_options.sync_writes));
    return !m_failed;
}

/// A killed process leaves what it wrote in the page cache, where it is read back though a loss of
/// power may still take it.
void durable_log::sync_loaded() {
    if (m_file_begun) {
        m_loaded_synced_by = m_staged + 1;
        stage({.file = m_file, .syncs_first = true});
    }
}

std::optional<log_write> durable_log::begin_write() {
    if (m_writing || m_failed || m_writes.empty()) {
        return std::nullopt;
    }
    m_writing = true;
    log_write write = std::move(m_writes.front());
    m_writes.pop_front();
    m_writing_up_to = write.number;
    return write;
}

void durable_log::end_write(const write_outcome &outcome) {
    m_writing = false;
    if (!outcome.written) {
        fail(outcome.reason);
        return;
    }
    m_written = m_writing_up_to;
    advance_durable();
}

void durable_log::record_position() {
    m_positions.push_back({.number = m_staged,
                           .vote = m_vote,
                           .base_index = m_base_index,
                           .last_index = last_index()});
    advance_durable();
}

void durable_log::advance_durable() {
    while (!m_positions.empty() && m_positions.front().number <= m_written) {
        m_durable = std::move(m_positions.front());
        m_positions.pop_front();
    }
}

/// Entries after `last_index` are replaced, so syncs of their previous versions no longer make them
/// durable.
void durable_log::truncate_positions(std::uint64_t last_index) {
    m_durable.last_index = std::min(m_durable.last_index, last_index);
    for (position &item : m_positions) {
        item.last_index = std::min(item.last_index, last_index);
    }
}

/// After a failed sync the kernel may have dropped dirty pages: the content of the disk is unknown,
/// so later successful syncs prove nothing.
bool durable_log::fail(const std::string &reason) {
    m_failed = true;
    m_writes.clear();
    m_reason = reason;
    return false;
}

} // namespace peppertack
