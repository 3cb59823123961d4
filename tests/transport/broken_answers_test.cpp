#include "collected_answer.hpp"
#include "hostile_crowd.hpp"
#include "local_cluster.hpp"
#include "peppertack/transport/http/http_client_pool.hpp"

#include <asio.hpp>
#include <doctest/doctest.h>

using namespace peppertack;
using namespace peppertack::testing;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t upload_size = 32U << 20U; ///< more than the system buffers
constexpr std::size_t piece_size = 256U << 10U;

/// Makes calls to a server that answers each with the same bytes.
class caller_of_broken_server {
public:
    explicit caller_of_broken_server(const std::string &answer,
                                     hostile_server::ending end = hostile_server::ending::open)
        : m_address("127.0.0.1:" + std::to_string(free_port())),
          m_server(m_io, {.address = m_address, .answer = {.begin = answer}, .end = end}),
          m_pool(m_io, {.id_header = "X-Request-Id"}) {
        std::string reason;
        REQUIRE_MESSAGE(m_server.start(reason), reason);
    }

    /// A call without a body.
    collected_answer get() {
        const auto answer = std::make_shared<collected_answer>();
        const auto open = m_pool.start(m_address, head("GET"), answer);
        open->request_done();
        return wait_for(*answer);
    }

    /// A call whose body is longer than the server reads, handed over at once.
    collected_answer upload() {
        const auto answer = std::make_shared<collected_answer>();
        const auto open = begin_upload(answer);
        open->send_body(std::string(upload_size, 'u'));
        return wait_for(*answer);
    }

    /// The same, handed over piece by piece.
    collected_answer upload_in_pieces() {
        const auto answer = std::make_shared<collected_answer>();
        const auto open = begin_upload(answer);
        const std::string piece(piece_size, 'u');
        for (std::size_t sent = 0; sent < upload_size && !answer->over(); sent += piece_size) {
            open->send_body(piece);
            m_io.restart();
            m_io.run_one_for(1ms);
        }
        return wait_for(*answer);
    }

private:
    static http_head head(const std::string &method) {
        http_head result;
        result.method = method;
        result.target = "/";
        result.headers = {{"Host", "h"}, {"X-Request-Id", "1"}};
        return result;
    }

    std::shared_ptr<http_call> begin_upload(const std::shared_ptr<collected_answer> &answer) {
        http_head request = head("POST");
        request.framing = body_framing::length;
        request.content_length = upload_size;
        return m_pool.start(m_address, request, answer);
    }

    collected_answer wait_for(const collected_answer &answer) {
        const auto limit = std::chrono::steady_clock::now() + 5s;
        while (!answer.over() && std::chrono::steady_clock::now() < limit) {
            m_io.restart();
            m_io.run_one_for(20ms);
        }
        return answer;
    }

    asio::io_context m_io;
    std::string m_address;
    hostile_server m_server;
    http_client_pool m_pool;
};

constexpr const char *without_length = "HTTP/1.1 200 OK\r\n\r\npart";

} // namespace

// Guards against a part of an answer that is taken for all of it where a write is the first to
// learn of the reset.
TEST_CASE("an answer without a length is not whole if a reset ends it during the upload") {
    caller_of_broken_server caller(without_length, hostile_server::ending::reset);
    collected_answer answer;
    SUBCASE("that waits to be written") {
        answer = caller.upload();
    }
    SUBCASE("that is handed over piece by piece") {
        answer = caller.upload_in_pieces();
    }
    CHECK_FALSE(answer.ended);
    CHECK(answer.failure.has_value());
}

// Guards against an early answer that is lost because its server reads no more of the upload.
TEST_CASE("an answer without a length that ended in order is whole, whatever follows") {
    using ending = hostile_server::ending;
    for (const ending end : {ending::ended, ending::ended_and_reset}) {
        for (int round = 0; round < 5; ++round) {
            caller_of_broken_server caller(without_length, end);
            const collected_answer answer = caller.upload();
            CHECK(answer.ended);
            CHECK(answer.body == "part");
        }
    }
}

// Guards against bytes that are no answer in the protocol and reach the caller as one, and against
// a call that waits for another answer behind them.
TEST_CASE("an answer with a status that HTTP does not have fails the call at once") {
    for (const std::string status : {"000", "001", "099", "101", "600", "999"}) {
        CAPTURE(status);
        for (const std::string rest : {"\r\n", "Content-Length: 2\r\n\r\nno",
                                       "Transfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n"}) {
            CAPTURE(rest);
            const std::string whole = "HTTP/1.1 " + status + " No\r\n" + rest;
            CHECK(caller_of_broken_server(whole).get().failure == call_failure::no_answer);
            CHECK(caller_of_broken_server("HTTP/1.1 100 Continue\r\n\r\n" + whole).get().failure ==
                  call_failure::no_answer);
        }
    }
}

// Guards against a range of statuses that is too narrow.
TEST_CASE("answers with the first and the last status of HTTP are passed on") {
    for (const int status : {200, 599}) {
        const collected_answer answer =
            caller_of_broken_server("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 " +
                                    std::to_string(status) + " It\r\nContent-Length: 2\r\n\r\nis")
                .get();
        CHECK(answer.ended);
        CHECK(answer.status == status);
        CHECK(answer.body == "is");
    }
}

// Guards against a line that is passed on though it is no field, or that hides where the body ends.
TEST_CASE("an answer with a field name that is no token fails the call at once") {
    for (const std::string &line :
         {std::string("Content-Length : 2"), std::string("Content-Length\t: 2"),
          std::string("Transfer-Encoding : chunked"), std::string("Bad Name: x"),
          std::string("Bad\x01Name: x"), std::string("Bad\x7fName: x"), std::string(": x"),
          std::string(" Leading: x"), std::string("Bad\0Name: x", 11), std::string("Bad\rName: x"),
          std::string("Bad\nName: x"), std::string("Bad\x0bName: x"), std::string("no colon")}) {
        CAPTURE(line);
        const std::string good = "Content-Length: 2\r\n";
        for (const std::string &head : {line + "\r\n" + good, good + line + "\r\n"}) {
            caller_of_broken_server caller("HTTP/1.1 200 OK\r\n" + head + "\r\nok");
            CHECK(caller.get().failure.has_value());
        }
        caller_of_broken_server interim("HTTP/1.1 103 Early Hints\r\n" + line +
                                        "\r\n\r\nHTTP/1.1 200 OK\r\n" + good + "\r\nok");
        CHECK(interim.get().failure.has_value());
        caller_of_broken_server trailer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                                        "2\r\nok\r\n0\r\n" +
                                        line + "\r\n\r\n");
        CHECK(trailer.get().failure.has_value());
    }
}
