#pragma once

#include "peppertack/coordination/route_map.hpp"
#include "peppertack/state/error_kind.hpp"
#include "peppertack/state/time.hpp"

#include <optional>
#include <unordered_map>

namespace peppertack {

/// Remembers targets that can't be reached for now: their nodes stop, or take no connections. For
/// keyed requests, which have no other target: without this each one that waits would ask the node
/// again on its own, at the cost of a connection each time. Not thread safe.
class unavailable_targets {
public:
    struct options {
        duration probe_interval = std::chrono::milliseconds(40); ///< between requests sent anyway
        /// A target that is not asked for so long is no longer taken for unavailable.
        duration lifetime = std::chrono::seconds(2);
    };
    struct absence {
        error_kind cause = error_kind::none;
        instant expected{}; ///< when requests are taken again, as far as known; else zero
    };

    explicit unavailable_targets(options settings) : m_options(settings) {}
    unavailable_targets() : unavailable_targets(options{}) {}

    /// Records that a request with that deadline was not taken; `expected` as in `absence`.
    void record_absent(target_number target, const absence &found, instant deadline, instant now);
    /// Records that the target's node took a request, or refused it for another reason.
    void record_present(target_number target) { m_absent.erase(target); }
    /// Why a request with that deadline should not be sent to the target now; nullopt if it should,
    /// as a probe or since only later deadlines were refused.
    std::optional<absence> absent(target_number target, instant deadline, instant now);
    /// Forgets targets that are not in the map.
    void retain(const std::unordered_map<target_number, target_route> &known);

private:
    struct record {
        absence found;
        instant deadline{}; ///< the earliest that was refused
        instant probed{};
    };
    options m_options;
    std::unordered_map<target_number, record> m_absent;
};

} // namespace peppertack
