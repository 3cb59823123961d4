#include "peppertack/coordination/load_split_points.hpp"

#include <cassert>

namespace peppertack {

std::vector<std::uint32_t> load_split_points(const std::vector<key_load> &loads,
                                             std::uint64_t max_part_requests,
                                             std::size_t max_points) {
    assert(max_part_requests > 0);
    std::vector<std::uint32_t> split_points;
    std::uint64_t part_requests = 0;
    for (const key_load &item : loads) {
        if (split_points.size() == max_points) {
            break;
        }
        if (part_requests > 0 && part_requests + item.requests > max_part_requests) {
            split_points.push_back(item.key);
            part_requests = 0;
        }
        part_requests += item.requests;
    }
    return split_points;
}

} // namespace peppertack
