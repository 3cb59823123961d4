#include "peppertack/coordination/ended_incarnations.hpp"

#include <algorithm>

namespace peppertack {

namespace {

constexpr std::size_t max_entries = 64;
constexpr duration retention =
    std::chrono::seconds(30); ///< calls are delayed by seconds, not minutes

} // namespace

void ended_incarnations::note(const target_incarnation &incarnation, instant now) {
    m_ended.push_back({incarnation, now});
    if (m_ended.size() > max_entries) {
        m_ended.pop_front();
    }
}

bool ended_incarnations::is_retained(const ended_incarnation &ended, instant now) {
    return !ended.incarnation.born || now < ended.at + retention;
}

bool ended_incarnations::has_ended(const target_incarnation &incarnation, instant now) const {
    return std::any_of(m_ended.begin(), m_ended.end(), [&](const ended_incarnation &ended) {
        return ended.incarnation == incarnation && is_retained(ended, now);
    });
}

bool ended_incarnations::has_ended_recently(const std::string &name, instant now) const {
    return std::any_of(m_ended.begin(), m_ended.end(), [&](const ended_incarnation &ended) {
        return ended.incarnation.name == name && is_retained(ended, now);
    });
}

bool ended_incarnations::has_known_start(const std::string &name) const {
    return std::any_of(m_ended.begin(), m_ended.end(), [&](const ended_incarnation &ended) {
        return ended.incarnation.name == name && ended.incarnation.born;
    });
}

} // namespace peppertack
