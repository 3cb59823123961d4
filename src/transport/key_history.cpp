#include "peppertack/transport/key_history.hpp"

#include <map>
#include <nlohmann/json.hpp>

namespace peppertack {

namespace {

/// Follows one key through the records.
class replay {
public:
    replay(const std::string &service, std::uint64_t hash) : m_service(service), m_hash(hash) {}

    void take(const audit_record &record) {
        if (record.kind == "register_target") {
            note_registration(record);
        } else if (record.kind == "change_table") {
            note_table(record);
        } else if (record.kind == "grant_ranges") {
            note_grant(record);
        } else if (record.kind == "plan_moves") {
            note_move(record);
        } else if (record.kind == "release_range") {
            note_release(record);
        } else if (record.kind == "expire_targets") {
            note_loss(record);
        } else if (record.kind == "split_range" || record.kind == "merge_range") {
            note_bounds(record);
        }
    }

    key_history result() && { return std::move(m_history); }

private:
    static nlohmann::json parsed(const std::string &text) {
        return nlohmann::json::parse(text, nullptr, false);
    }

    void add(const audit_record &record) {
        m_history.events.push_back({record.sequence, record.wall_ms, record.kind, record.actor,
                                    record.cause, m_history.owner, m_history.token});
    }

    void note_registration(const audit_record &record) {
        const nlohmann::json json = parsed(record.after);
        if (json.is_object()) {
            m_names[json.value("number", 0U)] = json.value("name", "");
        }
    }

    void note_table(const audit_record &record) {
        constexpr std::string_view prefix = "version ";
        if (record.after.compare(0, prefix.size(), prefix) != 0) {
            return;
        }
        m_history.table_version = std::strtoull(record.after.c_str() + prefix.size(), nullptr, 10);
        if (m_bounds.empty()) {
            constexpr std::uint64_t initial_ranges = 64;
            for (std::uint64_t i = 0; i < initial_ranges; ++i) {
                m_bounds[i * (~0ULL / initial_ranges + 1)] = true;
            }
        }
    }

    /// Bounds only matter around the key, so the first at or below it names its range.
    std::uint64_t first() const {
        const auto after = m_bounds.upper_bound(m_hash);
        return after == m_bounds.begin() ? 0 : std::prev(after)->first;
    }

    void note_bounds(const audit_record &record) {
        if (record.subject.compare(0, m_service.size() + 1, m_service + "/") != 0) {
            return;
        }
        if (record.kind == "split_range") {
            constexpr std::string_view prefix = "cut at ";
            m_bounds[std::strtoull(record.after.c_str() + prefix.size(), nullptr, 10)] = true;
        } else {
            m_bounds.erase(
                std::strtoull(record.subject.c_str() + m_service.size() + 1, nullptr, 10));
        }
    }

    void note_grant(const audit_record &record) {
        if (record.subject != m_service) {
            return;
        }
        for (const nlohmann::json &choice : parsed(record.after)) {
            if (choice.value("first", 0ULL) == first()) {
                m_owner = choice.value("to", 0U);
                m_history.owner = m_names[m_owner];
                m_history.token = record.log_index;
                add(record);
            }
        }
    }

    void note_move(const audit_record &record) {
        if (record.subject != m_service) {
            return;
        }
        for (const nlohmann::json &choice : parsed(record.after)) {
            if (choice.value("first", 0ULL) == first()) {
                add(record);
            }
        }
    }

    void note_release(const audit_record &record) {
        if (record.subject != m_service + "/" + std::to_string(first())) {
            return;
        }
        const nlohmann::json json = parsed(record.after);
        if (json.is_object()) {
            m_owner = json.value("owner", 0U);
            m_history.owner = m_names[m_owner];
            m_history.token = json.value("token", 0ULL);
            add(record);
        }
    }

    void note_loss(const audit_record &record) {
        for (const nlohmann::json &ended : parsed(record.before)) {
            if (m_owner != 0 && ended.is_object() && ended.value("number", 0U) == m_owner) {
                m_owner = 0;
                m_history.owner.clear();
                add(record);
            }
        }
    }

    std::string m_service;
    std::uint64_t m_hash;
    std::uint32_t m_owner = 0;
    std::map<std::uint32_t, std::string> m_names;
    std::map<std::uint64_t, bool> m_bounds;
    key_history m_history;
};

} // namespace

key_history history_of_key(const std::vector<audit_record> &records, const std::string &service,
                           std::uint64_t hash, std::int64_t until_ms) {
    replay state(service, hash);
    bool complete = !records.empty() && records.front().sequence == 1;
    std::uint64_t expected = records.empty() ? 0 : records.front().sequence;
    for (const audit_record &record : records) {
        complete = complete && record.sequence == expected;
        expected = record.sequence + 1;
        if (record.wall_ms <= until_ms) {
            state.take(record);
        }
    }
    key_history history = std::move(state).result();
    history.complete = complete;
    return history;
}

} // namespace peppertack
