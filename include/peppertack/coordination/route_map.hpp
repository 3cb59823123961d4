#pragma once

#include "peppertack/coordination/messages.hpp"
#include "peppertack/state/records.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace peppertack {

/// A node's copy of the ownership map, updated by `map_update`s and never set back. Not thread
/// safe.
class route_map {
public:
    struct service_map {
        std::vector<std::uint64_t> firsts; ///< sorted; stored separately from the records for fast
                                           ///< search
        std::vector<range_record> ranges;
        /// Search index: for each equal part of the key space, the position of the range that
        /// contains its first hash. There are about as many parts as ranges, so few candidates
        /// remain for the search.
        std::vector<std::uint32_t> starts;
        unsigned int part_shift = 0; ///< shifting a hash right by this yields its part

        /// Rebuilds `starts` from `firsts`.
        void index();
        /// Range that contains `hash`. Precondition: not empty.
        const range_record &at(std::uint64_t hash) const;
        /// Last hash of the range at position `index`.
        std::uint64_t last_hash(std::size_t index) const;
    };

    std::uint64_t version() const { return m_version; }
    /// Applies an update that starts at the current version, or a whole map that is newer. Returns
    /// false without a change if the update is late or follows one that was lost.
    bool apply(const map_update &update);

    /// Null if the service is not known.
    const service_map *find_service(std::string_view service) const;
    /// Null if the service is not known or has no ranges.
    const range_record *find_range(std::string_view service, std::uint64_t hash) const;
    const target_route *find_target(target_number number) const;
    const std::unordered_map<target_number, target_route> &targets() const { return m_targets; }
    const std::vector<std::string> &services() const { return m_services; }

private:
    void replace_ranges(const service_ranges &part);
    void merge_ranges(const service_ranges &part);

    struct text_hash {
        using is_transparent = void;
        std::size_t operator()(std::string_view text) const {
            return std::hash<std::string_view>{}(text);
        }
    };

    std::uint64_t m_version = 0;
    std::uint64_t m_as_of = 0; ///< newest state version that the records may reflect
    std::unordered_map<target_number, target_route> m_targets;
    std::unordered_map<std::string, service_map, text_hash, std::equal_to<>> m_maps;
    std::vector<std::string> m_services;
};

} // namespace peppertack
