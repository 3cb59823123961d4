#include "peppertack/coordination/admission.hpp"

#include <algorithm>
#include <cassert>

namespace peppertack {

namespace {

constexpr duration min_retry_after = std::chrono::milliseconds(50);
constexpr int smoothing = 8;
/// A single key may fill 1 / key_part_of_queue of the queue, so that a hot key leaves room for
/// others.
constexpr std::size_t key_part_of_queue = 2;

} // namespace

duration admission::expected_wait() const {
    const auto slots = static_cast<duration::rep>(std::max<std::uint32_t>(m_limits.in_flight, 1));
    const auto ahead = static_cast<duration::rep>(m_queued + 1);
    return m_service_time * ahead / slots;
}

admission::verdict admission::offer(const item &request, instant now) {
    if (m_in_flight < m_limits.in_flight && m_queued == 0) {
        ++m_in_flight;
        return verdict::start;
    }
    const auto own = m_by_key.find(request.key_hash);
    const std::size_t own_queued = own == m_by_key.end() ? 0 : own->second.size();
    const std::size_t own_limit = m_limits.queue / key_part_of_queue + 1;
    // A request that can't finish before its deadline would only take a slot from one that can.
    const bool too_late = now + expected_wait() + m_service_time > request.deadline;
    if (m_queued >= m_limits.queue || own_queued >= own_limit || too_late) {
        return verdict::refused;
    }
    if (own_queued == 0) {
        m_key_order.push_back(request.key_hash);
    }
    m_by_key[request.key_hash].push_back(request);
    ++m_queued;
    return verdict::queued;
}

void admission::finish(duration ran_for) {
    assert(m_in_flight > 0);
    --m_in_flight;
    m_service_time += (ran_for - m_service_time) / smoothing;
}

std::optional<std::uint64_t> admission::next(instant now, std::vector<std::uint64_t> &expired) {
    while (m_queued > 0 && m_in_flight < m_limits.in_flight) {
        const std::uint64_t key = m_key_order.front();
        m_key_order.pop_front();
        std::deque<item> &waiting = m_by_key[key];
        const item request = waiting.front();
        waiting.pop_front();
        --m_queued;
        if (waiting.empty()) {
            m_by_key.erase(key);
        } else {
            m_key_order.push_back(key);
        }
        if (request.deadline <= now) {
            expired.push_back(request.request);
            continue;
        }
        ++m_in_flight;
        return request.request;
    }
    return std::nullopt;
}

bool admission::withdraw(std::uint64_t request) {
    for (auto &[key, waiting] : m_by_key) {
        const auto place = std::find_if(waiting.begin(), waiting.end(), [&](const item &queued) {
            return queued.request == request;
        });
        if (place == waiting.end()) {
            continue;
        }
        waiting.erase(place);
        --m_queued;
        if (waiting.empty()) {
            std::erase(m_key_order, key);
            m_by_key.erase(key);
        }
        return true;
    }
    return false;
}

std::vector<std::uint64_t> admission::withdraw_all() {
    std::vector<std::uint64_t> result;
    for (const auto &[key, waiting] : m_by_key) {
        for (const item &queued : waiting) {
            result.push_back(queued.request);
        }
    }
    std::sort(result.begin(), result.end());
    m_by_key.clear();
    m_key_order.clear();
    m_queued = 0;
    return result;
}

void admission::reset() {
    withdraw_all();
    m_in_flight = 0;
}

duration admission::retry_after() const {
    return std::max(min_retry_after, expected_wait());
}

} // namespace peppertack
