#include "peppertack/transport/target_client.hpp"

#include "../../src/transport/wall_clock.hpp"
#include "hostile_crowd.hpp"
#include "local_cluster.hpp"

#include <asio.hpp>
#include <doctest/doctest.h>
#include <future>

using namespace peppertack;
using namespace peppertack::testing;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t upload_size = 32U << 20U; ///< more than the system buffers

/// Makes one call to a target that answers with these bytes.
call_result call_target(const std::string &answer, hostile_server::ending end,
                        std::size_t body_size = 0) {
    asio::io_context io;
    const std::string address = "127.0.0.1:" + std::to_string(free_port());
    hostile_server target(io, {.address = address, .answer = {.begin = answer}, .end = end});
    std::string reason;
    REQUIRE_MESSAGE(target.start(reason), reason);
    target_client client([] { return steady_instant(); });
    client.set_address(address);
    target_call call{.call = 1,
                     .request = {.method = body_size == 0 ? "GET" : "POST",
                                 .path = "/",
                                 .headers = {{"X-Request-Id", "1"}},
                                 .time_left = 2s},
                     .not_after = steady_instant() + 2s,
                     .deadline = steady_instant() + 2s};
    if (body_size != 0) {
        call.request.body = std::make_shared<const std::string>(body_size, 'u');
    }
    auto result = std::async(std::launch::async, [&] { return client.run(call); });
    while (result.wait_for(0s) != std::future_status::ready) {
        io.restart();
        io.run_one_for(5ms);
    }
    return result.get();
}

} // namespace

// Guards against a part of an answer that is taken for all of it.
TEST_CASE("a target's answer without a length is not whole if a reset ends it") {
    const std::string answer = "HTTP/1.1 200 OK\r\n\r\npart";
    const auto reset = hostile_server::ending::reset;
    CHECK(call_target(answer, reset).result == call_result::kind::lost);
    CHECK(call_target(answer, reset, upload_size).result == call_result::kind::lost);
    CHECK(call_target(answer, hostile_server::ending::closed).result ==
          call_result::kind::answered);
}
