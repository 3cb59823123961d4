#pragma once

#include "peppertack/coordination/messages.hpp"
#include "peppertack/state/control_state.hpp"

#include <cstdint>
#include <map>

namespace peppertack {

/// The part of a target's record that nodes need.
target_route route_of(const target_record &record);

/// What nodes are told of the map: differences between versions of the control state, kept for as
/// long as that state's version lasts, since most nodes ask for the same. Not thread safe.
class map_updates {
public:
    /// Preconditions: `state` outlives the object; `most_items` is above 0.
    map_updates(const control_state &state, std::size_t most_items)
        : m_state(state), m_most_items(most_items) {}

    /// What has changed since `version`, or its first part, of `most_items`; all of the map where
    /// that is not known any more. Valid until the next call.
    const map_update &since(std::uint64_t version);
    /// What a node owns, or is to hand over, it has to know at once, however much else it missed.
    void add_own_ranges(map_update &update, const target_record &record) const;

private:
    map_update make_since(std::uint64_t version) const;
    map_update whole() const;

    const control_state &m_state;
    std::size_t m_most_items;
    std::map<std::uint64_t, map_update> m_kept; ///< by the version they start from
    std::uint64_t m_kept_version = 0;           ///< to which they lead
};

} // namespace peppertack
