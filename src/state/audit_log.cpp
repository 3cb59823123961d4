#include "peppertack/state/audit_log.hpp"

#include "peppertack/state/storage.hpp"

#include <algorithm>
#include <sstream>

namespace peppertack {

namespace {

constexpr const char *segment_prefix = "audit-";

std::string segment_name(std::uint64_t first) {
    std::string digits = std::to_string(first);
    digits.insert(0, 20 - digits.size(), '0');
    return segment_prefix + digits;
}

std::optional<std::vector<std::string>> segments_of(storage &files) {
    std::optional<std::vector<std::string>> names = files.list();
    if (names) {
        std::erase_if(*names,
                      [](const std::string &name) { return name.rfind(segment_prefix, 0) != 0; });
    }
    return names;
}

std::vector<audit_record> read_segment(storage &files, const std::string &name) {
    std::vector<audit_record> records;
    std::istringstream in(files.read(name).value_or(""));
    std::string line;
    std::string reason;
    while (std::getline(in, line)) {
        if (auto record = decode_audit(line, reason)) {
            records.push_back(std::move(*record));
        }
    }
    return records;
}

} // namespace

std::optional<audit_log> audit_log::open(storage &files, options settings, std::string &reason) {
    audit_log log(files, settings);
    const std::optional<std::vector<std::string>> names = segments_of(files);
    if (!names) {
        reason = files.last_reason();
        return std::nullopt;
    }
    if (names->empty()) {
        return log;
    }
    log.m_segment = names->back();
    const std::optional<std::string> content = files.read(log.m_segment);
    if (!content) {
        reason = files.last_reason();
        return std::nullopt;
    }
    const std::size_t complete_bytes =
        content->rfind('\n') == std::string::npos ? 0 : content->rfind('\n') + 1;
    if (complete_bytes < content->size() && !files.truncate(log.m_segment, complete_bytes)) {
        reason = files.last_reason();
        return std::nullopt;
    }
    const std::vector<audit_record> records = read_segment(files, log.m_segment);
    log.m_segment_size = records.size();
    log.m_segment_bytes = complete_bytes;
    log.m_last = records.empty() ? 0 : records.back().sequence;
    return log;
}

bool audit_log::append(const audit_record &record) {
    if (record.sequence > last_sequence()) {
        m_pending.push_back(record);
    }
    if (m_pending.size() > m_options.max_pending_records) {
        m_pending.pop_front();
    }
    // Retry pending records: dropping a record on the first error would leave a permanent gap in
    // the chain, even if the disk accepts writes a second later.
    while (!m_pending.empty()) {
        if (!write(m_pending.front())) {
            return false;
        }
        m_pending.pop_front();
    }
    return true;
}

bool audit_log::write(const audit_record &record) {
    if (m_torn && !m_files->truncate(m_segment, m_segment_bytes)) {
        return false;
    }
    m_torn = false;
    const bool gap = record.sequence != m_last + 1;
    if (m_segment.empty() || gap || m_segment_size >= m_options.segment_records) {
        begin_segment(record);
    }
    const std::string line = encode(record) + "\n";
    if (!m_files->append(m_segment, line)) {
        m_torn = true;
        return false;
    }
    ++m_segment_size;
    m_segment_bytes += line.size();
    m_last = record.sequence;
    return true;
}

void audit_log::begin_segment(const audit_record &first) {
    m_segment = segment_name(first.sequence);
    m_segment_size = 0;
    m_segment_bytes = 0;
    // If the directory can't be listed, expired segments are removed when the next segment begins.
    const std::vector<std::string> names =
        segments_of(*m_files).value_or(std::vector<std::string>{});
    for (std::size_t i = 0; i + m_options.max_segments < names.size(); ++i) {
        m_files->remove(names[i]);
    }
}

std::vector<audit_record> audit_log::read_all() const {
    std::vector<audit_record> records;
    const auto names = segments_of(*m_files).value_or(std::vector<std::string>{});
    for (const std::string &name : names) {
        std::vector<audit_record> part = read_segment(*m_files, name);
        std::move(part.begin(), part.end(), std::back_inserter(records));
    }
    records.insert(records.end(), m_pending.begin(), m_pending.end());
    return records;
}

chain_report verify_chain(const std::vector<audit_record> &records) {
    chain_report report;
    report.records = records.size();
    if (records.empty()) {
        return report;
    }
    audit_head head{records.front().sequence - 1, records.front().previous_hash};
    for (const audit_record &record : records) {
        std::string reason;
        if (!extend_chain(head, record, reason)) {
            report.intact = false;
            report.faults.push_back(reason);
            head = {record.sequence, record.hash};
        }
    }
    return report;
}

} // namespace peppertack
