#pragma once

#include <array>
#include <string_view>

namespace peppertack {

/// Switches of the load-dependent mechanisms. All are on by default; switching one off measures its
/// effect. Immutable once a node serves traffic.
struct traffic_policy {
    bool dependency_admission = true; ///< see `dependency_admission`
    bool nested_calls_first = true;   ///< nested calls go before all other requests
    bool retry_recognition = true;    ///< see `retry_detector`
    bool equal_shares = true;         ///< see `service_share_tracker`
    bool drain_standing = true;       ///< see `work_queue`
    bool two_choices = true;          ///< see `target_selector`
    bool times_by_route = true;       ///< see `target_selector`
    bool near_choice = true;          ///< see `target_selector`
    bool ejection = true;             ///< see `target_selector`
    bool overlap_pipelined = true;    ///< see `pipelining_policy`

    friend bool operator==(const traffic_policy &, const traffic_policy &) = default;
};

/// A mechanism and its name in the settings.
struct traffic_mechanism {
    std::string_view name;
    bool traffic_policy::*enabled = nullptr;
};

inline constexpr std::array<traffic_mechanism, 10> traffic_mechanisms{{
    {"dependency-admission", &traffic_policy::dependency_admission},
    {"nested-calls-first", &traffic_policy::nested_calls_first},
    {"retry-recognition", &traffic_policy::retry_recognition},
    {"equal-shares", &traffic_policy::equal_shares},
    {"drain-standing", &traffic_policy::drain_standing},
    {"two-choices", &traffic_policy::two_choices},
    {"times-by-route", &traffic_policy::times_by_route},
    {"near-choice", &traffic_policy::near_choice},
    {"ejection", &traffic_policy::ejection},
    {"overlap-pipelined", &traffic_policy::overlap_pipelined},
}};

} // namespace peppertack
