#include "peppertack/coordination/messages.hpp"

#include "peppertack/state/key_hash.hpp"

namespace peppertack {

std::uint64_t fingerprint_of(const caller_request &request) {
    return request_fingerprint(request.method, request.path,
                               request.body ? *request.body : std::string_view{});
}

} // namespace peppertack
