#include "peppertack/coordination/idempotency_store.hpp"

#include <algorithm>

namespace peppertack {

namespace {

std::string joined(const std::string &service, const std::string &key) {
    return service + '\n' + key;
}

std::size_t body_size(const remembered_key &value) {
    return value.response.body ? value.response.body->size() : 0;
}

} // namespace

const remembered_key *idempotency_store::find(const std::string &service,
                                              const std::string &key) const {
    const auto found = m_keys.find(joined(service, key));
    return found == m_keys.end() ? nullptr : &found->second;
}

bool idempotency_store::put(remembered_key value) {
    const std::string name = joined(value.service, value.idempotency_key);
    const auto found = m_keys.find(name);
    if (found == m_keys.end()) {
        if (m_keys.size() >= m_options.max_keys) {
            return false;
        }
        m_by_time.emplace(value.wall_ms, name);
    } else {
        value.wall_ms = found->second.wall_ms;
        m_answer_bytes -= body_size(found->second);
    }
    const std::size_t size = body_size(value);
    if (size > m_options.max_answer_size || m_answer_bytes + size > m_options.max_answer_bytes) {
        drop_body(value);
    }
    m_answer_bytes += body_size(value);
    m_keys[name] = std::move(value);
    return true;
}

/// Without its body the answer can't be returned again, but it is still known that the request ran.
void idempotency_store::drop_body(remembered_key &value) {
    value.response.body.reset();
    value.phase = key_phase::unknown;
}

void idempotency_store::erase(const std::string &service, const std::string &key) {
    const std::string name = joined(service, key);
    const auto found = m_keys.find(name);
    if (found == m_keys.end()) {
        return;
    }
    const auto [from, to] = m_by_time.equal_range(found->second.wall_ms);
    const auto place =
        std::find_if(from, to, [&](const auto &item) { return item.second == name; });
    if (place != to) {
        m_by_time.erase(place);
    }
    m_answer_bytes -= body_size(found->second);
    m_keys.erase(found);
}

std::vector<remembered_key> idempotency_store::in_range(const std::string &service,
                                                        std::uint64_t first,
                                                        std::uint64_t last) const {
    std::vector<remembered_key> result;
    for (const auto &[name, value] : m_keys) {
        if (value.service == service && value.hash >= first && value.hash <= last) {
            result.push_back(value);
        }
    }
    return result;
}

std::vector<remembered_key> idempotency_store::all() const {
    std::vector<remembered_key> result;
    result.reserve(m_keys.size());
    for (const auto &[name, value] : m_keys) {
        result.push_back(value);
    }
    return result;
}

void idempotency_store::expire(std::int64_t wall_ms) {
    while (!m_by_time.empty() && m_by_time.begin()->first + m_options.retention_ms < wall_ms) {
        const auto found = m_keys.find(m_by_time.begin()->second);
        m_answer_bytes -= body_size(found->second);
        m_keys.erase(found);
        m_by_time.erase(m_by_time.begin());
    }
}

void idempotency_store::clear() {
    m_keys.clear();
    m_by_time.clear();
    m_answer_bytes = 0;
}

} // namespace peppertack
