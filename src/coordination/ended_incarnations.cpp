#include "peppertack/coordination/ended_incarnations.hpp"

#include <algorithm>

namespace peppertack {

namespace {

constexpr std::size_t most_lives = 64;
constexpr duration memory = std::chrono::seconds(30); ///< calls are delayed by seconds, not minutes

} // namespace

void ended_incarnations::note(const target_incarnation &life, instant now) {
    m_lives.push_back({life, now});
    if (m_lives.size() > most_lives) {
        m_lives.pop_front();
    }
}

bool ended_incarnations::fresh(const ended_incarnation &ended, instant now) {
    return !ended.life.born || now < ended.at + memory;
}

bool ended_incarnations::has_ended(const target_incarnation &life, instant now) const {
    return std::any_of(m_lives.begin(), m_lives.end(), [&](const ended_incarnation &ended) {
        return ended.life == life && fresh(ended, now);
    });
}

bool ended_incarnations::has_ended_recently(const std::string &name, instant now) const {
    return std::any_of(m_lives.begin(), m_lives.end(), [&](const ended_incarnation &ended) {
        return ended.life.name == name && fresh(ended, now);
    });
}

bool ended_incarnations::has_known_start(const std::string &name) const {
    return std::any_of(m_lives.begin(), m_lives.end(), [&](const ended_incarnation &ended) {
        return ended.life.name == name && ended.life.born;
    });
}

} // namespace peppertack
