#include "peppertack/transport/target_client.hpp"

#include "../../src/transport/wall_clock.hpp"
#include "hostile_crowd.hpp"
#include "local_cluster.hpp"

#include <asio.hpp>
#include <doctest/doctest.h>
#include <future>
#include <thread>

using namespace peppertack;
using namespace peppertack::testing;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t upload_size = 32U << 20U; ///< more than the system buffers

target_call call_with(std::size_t body_size, duration time) {
    target_call call{.call = 1,
                     .request = {.method = body_size == 0 ? "GET" : "POST",
                                 .path = "/",
                                 .headers = {{"X-Request-Id", "1"}},
                                 .time_left = time},
                     .not_after = steady_instant() + time,
                     .deadline = steady_instant() + time};
    if (body_size != 0) {
        call.request.body = std::make_shared<const std::string>(body_size, 'u');
    }
    return call;
}

/// Makes a call from a thread of its own while the loop of the target runs.
call_result run_beside(asio::io_context &io, target_client &client, const target_call &call) {
    auto result = std::async(std::launch::async, [&] { return client.run(call); });
    while (result.wait_for(0s) != std::future_status::ready) {
        io.restart();
        io.run_one_for(5ms);
    }
    return result.get();
}

/// Makes one call to a target that answers with these bytes.
call_result call_target(const std::string &answer,
                        hostile_server::ending end = hostile_server::ending::open,
                        std::size_t body_size = 0) {
    asio::io_context io;
    const std::string address = "127.0.0.1:" + std::to_string(free_port());
    hostile_server target(io, {.address = address, .answer = {.begin = answer}, .end = end});
    std::string reason;
    REQUIRE_MESSAGE(target.start(reason), reason);
    target_client client([] { return steady_instant(); });
    client.set_address(address);
    return run_beside(io, client, call_with(body_size, 3s));
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

// Guards against bytes that are no answer in the protocol and reach the caller as one.
TEST_CASE("a target's answer with a status that HTTP does not have counts as lost") {
    for (const std::string status : {"000", "099", "101", "600"}) {
        CAPTURE(status);
        const std::string whole = "HTTP/1.1 " + status + " No\r\nContent-Length: 2\r\n\r\nno";
        CHECK(call_target(whole).result == call_result::kind::lost);
    }
}

// Guards against a line that is passed on though it is no field, and against one that is dropped
// or read in another way than its sender meant, so that the body ends elsewhere.
TEST_CASE("a target's answer with a line that is no field, or with two lengths, counts as lost") {
    for (const std::string line :
         {"Content-Length : 1", "Content-Length\t: 1", "Transfer-Encoding : chunked", "Bad Name: x",
          "Bad\x01Name: x", "Bad\x7fName: x", " Folded: x", ": x", "Bad Name:", "no colon",
          "Content-Length: 5", "Transfer-Encoding: chunked"}) {
        CAPTURE(line);
        const std::string length = "Content-Length: 2\r\n";
        CHECK(call_target("HTTP/1.1 200 OK\r\n" + length + line + "\r\n\r\nok").result ==
              call_result::kind::lost);
        CHECK(call_target("HTTP/1.1 200 OK\r\n" + line + "\r\n" + length + "\r\nok").result ==
              call_result::kind::lost);
    }
}

// Guards against a reader that refuses or changes what is an answer.
TEST_CASE("a target's answer is handed on as it came, however its end is told") {
    const std::string fields = "HTTP/1.1 599 Odd\r\nX-A: a%0Ab\r\nX-Empty:\r\nX-A: c\r\n";
    for (const std::string rest :
         {"Content-Length: 4\r\n\r\nbody",
          "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", "\r\nbody"}) {
        CAPTURE(rest);
        const call_result got =
            call_target("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + fields + rest,
                        hostile_server::ending::closed);
        REQUIRE(got.result == call_result::kind::answered);
        CHECK(got.status == 599);
        CHECK(*got.body == "body");
        REQUIRE(got.headers.size() == 3);
        CHECK(got.headers[0].value == "a%0Ab");
        CHECK(got.headers[1].value.empty());
        CHECK(got.headers[2].value == "c");
    }
}

// Guards against calls that wait for more than they are given.
TEST_CASE("a call ends with its deadline, when it is cancelled, and at once where nobody listens") {
    asio::io_context io;
    const std::string address = "127.0.0.1:" + std::to_string(free_port());
    target_client client([] { return steady_instant(); });
    client.set_address(address);
    CHECK(client.run(call_with(0, 3s)).result == call_result::kind::not_sent);
    hostile_server silent(io, {.address = address, .answer = {}});
    std::string reason;
    REQUIRE_MESSAGE(silent.start(reason), reason);
    CHECK(run_beside(io, client, call_with(0, 200ms)).result == call_result::kind::lost);
    target_call late = call_with(0, 3s);
    late.not_after = steady_instant();
    CHECK(run_beside(io, client, late).result == call_result::kind::not_sent);
    const std::size_t before = silent.answers();
    asio::steady_timer cancels(io, 200ms);
    cancels.async_wait([&](asio::error_code) { client.cancel(1); });
    const auto begun = steady_instant();
    CHECK(run_beside(io, client, call_with(0, 10s)).result == call_result::kind::lost);
    CHECK(steady_instant() - begun < 5s);
    CHECK(silent.answers() == before + 1);
}

// Guards against an upload that is broken off because its target reads late.
TEST_CASE("a target may begin to read an upload long after it has come") {
    asio::io_context io;
    asio::ip::tcp::acceptor acceptor(io, {asio::ip::make_address("127.0.0.1"), 0});
    std::thread target([&] {
        asio::ip::tcp::socket socket = acceptor.accept();
        std::this_thread::sleep_for(2s); // beyond the bound on silent servers
        asio::error_code error;
        asio::streambuf received;
        const std::size_t head = asio::read_until(socket, received, "\r\n\r\n", error);
        asio::read(socket, received, asio::transfer_exactly(head + upload_size - received.size()),
                   error);
        asio::write(socket, asio::buffer(std::string("HTTP/1.1 200 OK\r\n\r\n")), error);
    });
    target_client client([] { return steady_instant(); });
    client.set_address("127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()));
    const call_result got = client.run(call_with(upload_size, 10s));
    target.join();
    CHECK(got.result == call_result::kind::answered);
}
