#pragma once

#include "peppertack/coordination/admission_level.hpp"
#include "peppertack/state/time.hpp"

#include <map>
#include <optional>
#include <string>

namespace peppertack {

/// Admits requests to a target only as far as the services that it calls meanwhile can carry.
///
/// It answers the overload of a called service. A nested call that is rejected wastes what the
/// target has done for the request that made it, and its caller sends that again, which sustains
/// the overload after its cause has gone. So whatever the called service can't carry is shed here,
/// before the target works on it: in the share in which that service sheds its own direct requests,
/// and by multiplicative decrease while nested calls are rejected all the same. Not thread safe: it
/// belongs to the traffic thread.
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
    /// Whether to admit a request. `draw` is uniform in [0, 1).
    bool admits(bool expired, double draw, instant now) const;

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

    std::map<std::string, dependency> m_routes;
};

} // namespace peppertack
