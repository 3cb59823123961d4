#pragma once

#include "peppertack/coordination/messages.hpp"
#include "peppertack/state/control_state.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace peppertack {

/// Extracts the part of a target's record that nodes need.
target_route route_of(const target_record &record);

/// Builds map updates for nodes: differences between versions of the control state. Updates are
/// cached until the state's version changes, since most nodes request the same one. Not thread
/// safe.
class map_update_cache {
public:
    using encoder = std::function<std::string(const map_update &)>;
    struct encoded_map {
        std::uint64_t version = 0;
        std::shared_ptr<const std::string> bytes;
    };

    /// `encode` is null if maps are not sent encoded. Preconditions: `state` outlives the object;
    /// `max_items` is above 0.
    map_update_cache(const control_state &state, std::size_t max_items, encoder encode = {})
        : m_state(state), m_max_items(max_items), m_encode(std::move(encode)) {}

    /// Returns the changes since `version`, limited to about `max_items`, or the full map if the
    /// history does not reach back that far. The reference is valid until the next call.
    const map_update &since(std::uint64_t version);
    /// Whether a node at `version` is sent a whole map, if maps can be sent encoded: it has none,
    /// or more than half of its records have changed, so that the changes would be larger.
    bool sends_whole(std::uint64_t version) const;
    /// Returns a whole map, which may be older than the state by up to `max_items` changes: while
    /// hundreds of nodes come back at once, their registrations change the version all the time.
    /// Precondition: `sends_whole` of some version.
    const encoded_map &whole();
    /// Adds the ranges that a node owns or must hand over: it needs these at once, even if the
    /// update leaves out other changes.
    void add_own_ranges(map_update &update, const target_record &record) const;

private:
    map_update build_since(std::uint64_t version) const;
    map_update full_map() const;
    std::size_t records() const; ///< of a whole map

    const control_state &m_state;
    std::size_t m_max_items;
    encoder m_encode;
    encoded_map m_whole;
    std::map<std::uint64_t, map_update> m_cache; ///< by start version
    std::uint64_t m_cache_version = 0;           ///< end version of the cached updates
};

} // namespace peppertack
