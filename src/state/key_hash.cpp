#include "peppertack/state/key_hash.hpp"

#include <xxhash.h>

namespace peppertack {

std::uint64_t key_hash(std::string_view key) {
    return XXH3_64bits(key.data(), key.size());
}

std::uint64_t request_fingerprint(std::string_view method, std::string_view path,
                                  std::string_view body) {
    const XXH64_hash_t method_hash = XXH3_64bits(method.data(), method.size());
    const XXH64_hash_t path_hash = XXH3_64bits_withSeed(path.data(), path.size(), method_hash);
    return XXH3_64bits_withSeed(body.data(), body.size(), path_hash);
}

} // namespace peppertack
