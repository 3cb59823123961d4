#pragma once

#include "peppertack/coordination/messages.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace peppertack {

/// Idempotency keys with the outcomes of their requests. A key is kept for the whole retention
/// period; when the store is full new keys are refused, since evicting one early could run a
/// request twice. Not thread safe.
class idempotency_store {
public:
    struct options {
        std::size_t max_keys = 80'000;
        std::size_t max_answer_bytes =
            16U << 20U; ///< total size of bodies; beyond it only keys are kept
        std::size_t max_answer_size = 256U << 10U; ///< larger bodies are not kept
        std::int64_t retention_ms = 600'000;
    };

    explicit idempotency_store(options settings) : m_options(settings) {}
    idempotency_store() : idempotency_store(options{}) {}

    /// Returns null if the key is unknown.
    const remembered_key *find(const std::string &service, const std::string &key) const;
    /// Adds or replaces a key. Returns false if it is new and the store is full.
    bool put(remembered_key value);
    void erase(const std::string &service, const std::string &key);
    /// Keys of a service with `first <= hash <= last`.
    std::vector<remembered_key> in_range(const std::string &service, std::uint64_t first,
                                         std::uint64_t last) const;
    std::vector<remembered_key> all() const;
    /// Removes keys whose retention period has passed.
    void expire(std::int64_t wall_ms);
    void clear();
    std::size_t size() const { return m_keys.size(); }

private:
    void drop_body(remembered_key &value);

    options m_options;
    std::unordered_map<std::string, remembered_key> m_keys; ///< by service and key
    std::multimap<std::int64_t, std::string> m_by_time;
    std::size_t m_answer_bytes = 0;
};

} // namespace peppertack
