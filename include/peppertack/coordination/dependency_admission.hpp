#pragma once

#include "peppertack/coordination/admission_level.hpp"
#include "peppertack/state/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace peppertack {

/// Admits requests to a target only as far as the services that it calls have capacity. The excess
/// is shed before the target works on it, in the share in which those services reject direct
/// requests, and by multiplicative decrease while nested calls are rejected. Where a called service
/// has hardly any capacity left, all requests are admitted and their calls marked expendable, as
/// long as a larger share of these runs succeeds than the admission level would admit. Not thread
/// safe: for use on the traffic thread only.
class dependency_admission {
public:
    /// Records an accepted nested call of the local target on `route`; `reported` is the admission
    /// level that the called node reported with its answer.
    void record_accepted(const std::string &route, const admission_level &reported, instant now);
    /// Records a rejected request from this node on `route`: the called service has no capacity, or
    /// no target at all. Without a reported level it has no effect unless nested calls were
    /// recorded on the route.
    void record_rejected(const std::string &route, const std::optional<admission_level> &reported,
                         instant now);
    /// Whether nested calls of the local target on `route` were recorded recently.
    bool calls(const std::string &route, instant now) const;
    /// Shares of requests to admit: the minimum over all called services.
    admission_level level(instant now) const;
    /// Route of nested calls with the lowest share of requests to admit; empty if none limits it.
    std::string limiting_route(instant now) const;
    /// Whether to admit a request. `draw` is uniform in [0, 1).
    bool admits(bool expired, double draw, instant now);
    /// Whether nested calls made now get the lowest priority at the called service.
    bool calls_expendable() const { return m_mode == mode::open; }
    /// Records the end of a run of the local target that was admitted at `started`.
    void record_run(instant started, bool succeeded, instant now);

private:
    void record(const std::string &route, const std::optional<admission_level> &reported,
                bool rejected, instant now);

    struct dependency {
        admission_level reported; ///< smoothed
        double share = 1;         ///< decreased while nested calls are rejected
        double increase = 0;      ///< of the share with the next window without rejections
        unsigned int windows_without_rejections = 0; ///< in a row
        unsigned int calls = 0;
        unsigned int rejected = 0; ///< of `calls`
        instant window_end{};
        instant last_report{};
    };

    enum class mode : std::uint8_t {
        shedding, ///< admits the share that the called services accept
        open      ///< admits all requests; their calls are expendable
    };
    static double fresh_share(const dependency &known, instant now);
    void update_mode(instant now);
    void set_mode(mode next, duration length, instant now);

    std::map<std::string, dependency> m_routes;
    mode m_mode = mode::shedding;
    instant m_mode_since{};
    instant m_review_at{};
    double m_level = 1;           ///< `admission_level::fresh` when shedding was last in force
    unsigned int m_runs = 0;      ///< started in the current open period, and ended
    unsigned int m_succeeded = 0; ///< of `m_runs`
};

} // namespace peppertack
