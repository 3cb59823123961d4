#include "peppertack/coordination/load_cuts.hpp"

#include <cassert>

namespace peppertack {

std::vector<std::uint32_t> load_cuts(const std::vector<key_load> &loads, std::uint64_t part,
                                     std::size_t most) {
    assert(part > 0);
    std::vector<std::uint32_t> cuts;
    std::uint64_t in_part = 0;
    for (const key_load &item : loads) {
        if (cuts.size() == most) {
            break;
        }
        if (in_part > 0 && in_part + item.requests > part) {
            cuts.push_back(item.key);
            in_part = 0;
        }
        in_part += item.requests;
    }
    return cuts;
}

} // namespace peppertack
