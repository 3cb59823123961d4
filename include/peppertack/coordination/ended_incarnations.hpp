#pragma once

#include "peppertack/coordination/target_incarnation.hpp"
#include "peppertack/state/time.hpp"

#include <deque>
#include <string>

namespace peppertack {

/// Lives of targets that are known to have ended, or have said that they leave, beside one node. A
/// call of one may have been held up on its way and must not bring it back. Not thread safe.
class ended_incarnations {
public:
    void note(const target_incarnation &life, instant now);
    /// Whether this life has ended. One that tells no start has a name of its own, which is never
    /// used again; one that does and still calls long afterwards has not ended: a refused
    /// connection was its node's or its kernel's fault, and it would be shut out for good.
    bool has_ended(const target_incarnation &life, instant now) const;
    /// Whether a life of this name, whichever, ended a short while ago.
    bool has_ended_recently(const std::string &name, instant now) const;
    /// Whether a life of this name told its start: a call that tells none is another writer's.
    bool has_known_start(const std::string &name) const;

private:
    struct ended_incarnation {
        target_incarnation life;
        instant at{};
    };

    static bool fresh(const ended_incarnation &ended, instant now);

    std::deque<ended_incarnation> m_lives; ///< the latest is the last
};

} // namespace peppertack
