#include "peppertack/coordination/load_split_points.hpp"

#include <cassert>

namespace peppertack {

std::vector<std::uint32_t> load_split_points(const std::vector<key_load> &loads, std::uint64_t part,
                                             std::size_t most) {
    assert(part > 0);
    std::vector<std::uint32_t> split_points;
    std::uint64_t in_part = 0;
    for (const key_load &item : loads) {
        if (split_points.size() == most) {
            break;
        }
        if (in_part > 0 && in_part + item.requests > part) {
            split_points.push_back(item.key);
            in_part = 0;
        }
        in_part += item.requests;
    }
    return split_points;
}

} // namespace peppertack
