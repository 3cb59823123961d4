#pragma once

#include "peppertack/coordination/admission_level.hpp"
#include "peppertack/state/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace peppertack {

/// Admits requests to a target only as far as the services that it calls can carry. What they can't
/// is shed before the target works on it, in the share in which they reject direct requests, and by
/// multiplicative decrease while nested calls are rejected. Where nearly nothing is left of a
/// called service all requests are admitted and their calls marked expendable, as long as more of
/// these runs end well than the level would admit. Not thread safe: it belongs to the traffic
/// thread.
class dependency_admission {
public:
    /// A nested call of the local target on `route` was taken; `told` is the admission level that
    /// the called node named with its answer.
    void note_taken(const std::string &route, const admission_level &told, instant now);
    /// A request on `route` from this node was rejected: the called service has no room, or no
    /// target at all. Without effect unless the route is known as one of nested calls.
    void note_rejected(const std::string &route, const std::optional<admission_level> &told,
                       instant now);
    /// Shares of requests to admit: the least that any called service leaves.
    admission_level level(instant now) const;
    /// Route of the nested calls that leave least room; empty if none leaves less than all.
    std::string limiting_route(instant now) const;
    /// Whether to admit a request. `draw` is uniform in [0, 1).
    bool admits(bool expired, double draw, instant now);
    /// Whether nested calls made now should give way to all else where they go.
    bool calls_expendable() const { return m_mode == mode::open; }
    /// A run of the local target that was admitted at `started` has ended.
    void note_run(instant started, bool succeeded, instant now);

private:
    void note(const std::string &route, const std::optional<admission_level> &told, bool rejected,
              instant now);

    struct dependency {
        admission_level told; ///< smoothed
        double share = 1;     ///< lowered while nested calls are rejected
        unsigned int calls = 0;
        unsigned int rejected = 0; ///< of `calls`
        instant window_end{};
        instant heard{};
    };

    enum class mode : std::uint8_t {
        shedding, ///< admits the share that called services leave
        open      ///< admits all requests; their calls are expendable
    };
    static double fresh_share(const dependency &known, instant now);
    void choose_mode(instant now);
    void enter(mode next, duration length, instant now);

    std::map<std::string, dependency> m_routes;
    mode m_mode = mode::shedding;
    instant m_entered{};
    instant m_review_at{};
    double m_level = 1;           ///< fresh, when it was last shedding
    unsigned int m_runs = 0;      ///< that began since all requests are admitted, and have ended
    unsigned int m_succeeded = 0; ///< of `m_runs`
};

} // namespace peppertack
