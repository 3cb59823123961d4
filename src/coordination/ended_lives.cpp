#include "peppertack/coordination/ended_lives.hpp"

#include <algorithm>

namespace peppertack {

namespace {

constexpr std::size_t most_lives = 64;
constexpr duration memory = std::chrono::seconds(30); ///< calls come seconds late, not minutes

} // namespace

void ended_lives::note(const target_life &life, instant now) {
    m_lives.push_back({life, now});
    if (m_lives.size() > most_lives) {
        m_lives.pop_front();
    }
}

bool ended_lives::fresh(const ended_life &ended, instant now) {
    return !ended.life.born || now < ended.at + memory;
}

bool ended_lives::has_ended(const target_life &life, instant now) const {
    return std::any_of(m_lives.begin(), m_lives.end(), [&](const ended_life &ended) {
        return ended.life == life && fresh(ended, now);
    });
}

bool ended_lives::has_left(const std::string &name, instant now) const {
    return std::any_of(m_lives.begin(), m_lives.end(), [&](const ended_life &ended) {
        return ended.life.name == name && fresh(ended, now);
    });
}

bool ended_lives::told_start(const std::string &name) const {
    return std::any_of(m_lives.begin(), m_lives.end(), [&](const ended_life &ended) {
        return ended.life.name == name && ended.life.born;
    });
}

} // namespace peppertack
