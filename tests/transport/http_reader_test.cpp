#include "peppertack/transport/http/http_reader.hpp"

#include <doctest/doctest.h>

using namespace peppertack;

namespace {

struct collected final : http_message_sink {
    void on_head(http_head value) override { head = std::move(value); }
    void on_body(std::string_view piece) override { body.append(piece); }
    void on_message_end() override { ++ended; }
    http_head head;
    std::string body;
    int ended = 0;
};

constexpr auto requests = http_reader::kind::requests;
constexpr auto responses = http_reader::kind::responses;
using state = http_reader::state;

state read(http_reader::kind kind, std::string_view text, collected &sink, int *status = nullptr,
           http_reader::limits limits = {}) {
    http_reader reader(kind, limits);
    const state result = reader.take(text, sink);
    if (status != nullptr) {
        *status = reader.refusal_status();
    }
    return result;
}

} // namespace

TEST_CASE("a request is read the same however its bytes are cut") {
    const std::string text =
        "POST /a?b=c HTTP/1.1\r\nHost: h\r\nX-A: 1\r\nContent-Length: 5\r\n\r\nhello";
    for (std::size_t cut = 1; cut < text.size(); ++cut) {
        http_reader reader(requests, {});
        collected sink;
        CHECK(reader.take(text.substr(0, cut), sink) == state::more);
        CHECK(reader.take(text.substr(cut), sink) == state::ended);
        CHECK(sink.head.method == "POST");
        CHECK(sink.head.target == "/a?b=c");
        CHECK(sink.head.path() == "/a");
        CHECK(*sink.head.find("x-a") == "1");
        CHECK(sink.body == "hello");
        CHECK(sink.ended == 1);
    }
}

TEST_CASE("chunks are joined, and what follows waits for its turn") {
    http_reader reader(requests, {});
    collected sink;
    CHECK(reader.take("PUT / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                      "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\nGET /next HTTP/1.1\r\nHost: h\r\n\r\n",
                      sink) == state::ended);
    CHECK(sink.body == "abcde");
    CHECK(sink.head.framing == body_framing::chunked);
    CHECK(reader.has_unread());
    reader.next();
    CHECK(reader.take({}, sink) == state::ended);
    CHECK(sink.head.target == "/next");
}

TEST_CASE("whatever two parties could frame differently is refused") {
    // Symptom: a request that no caller sent reached a target. Sequence: a caller sent one request
    // with two lengths; this side ended it by the first, the next one by the second, and took the
    // rest for another request. Cause: ambiguous framing was passed on instead of refused.
    const std::vector<std::string> heads{
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello!",
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nTransfer-Encoding: "
        "chunked\r\n\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nContent-Length: "
        "5\r\n\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: identity\r\n\r\n",
        "POST / HTTP/1.0\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: +5\r\n\r\nhello",
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: -1\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5 5\r\n\r\nhello",
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0x5\r\n\r\nhello",
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5,5\r\n\r\nhello",
        "GET / HTTP/1.1\r\nHost: h\r\nX-A: 1\r\n folded\r\n\r\n",
        "GET / HTTP/1.1\nHost: h\n\n",
        "GET / HTTP/1.1\r\nHost: h\nX-A: 1\r\n\r\n",
        "GET / HTTP/1.1\r\nHost : h\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: h\r\nX\rA: 1\r\n\r\n",
        std::string("GET / HTTP/1.1\r\nHost: h\0x\r\n\r\n", 30),
        "GET  / HTTP/1.1\r\nHost: h\r\n\r\n",
        "no request at all\r\n\r\n"};
    for (const std::string &text : heads) {
        collected sink;
        int status = 0;
        CHECK_MESSAGE(read(requests, text, sink, &status) == state::refused, text);
        CHECK(status == 400);
    }
}

TEST_CASE("heads and bodies beyond the limits are refused, each with its status") {
    collected sink;
    int status = 0;
    const std::string long_head = "GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(2000, 'x');
    CHECK(read(requests, long_head, sink, &status, {.header_bytes = 1000}) == state::refused);
    CHECK(status == 431);
    CHECK(read(requests, "PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\n", sink, &status,
               {.body_bytes = 10}) == state::refused);
    CHECK(status == 413);
    CHECK(
        read(requests,
             "PUT / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nb\r\nhello world\r\n",
             sink, &status, {.body_bytes = 10}) == state::refused);
    CHECK(status == 413);
}

// Guards against a reader that keeps, without a bound, what has no end in sight behind a head.
TEST_CASE("lines without end behind a head are refused within the limit of a head") {
    constexpr std::size_t limit = 1024;
    constexpr std::size_t most_sent = 64 * limit;
    std::string without_end;
    SUBCASE("a chunk's line") {
        without_end = "5;name=";
    }
    SUBCASE("trailers as one line") {
        without_end = "5\r\nhello\r\n0\r\nNote: ";
    }
    SUBCASE("trailers as many lines") {
        without_end = "5\r\nhello\r\n0\r\n";
    }
    const bool lines = without_end.ends_with("0\r\n");
    for (const auto kind : {requests, responses}) {
        CAPTURE(static_cast<int>(kind));
        http_reader reader(kind, {.header_bytes = limit});
        collected message;
        const std::string start =
            kind == requests ? "POST / HTTP/1.1\r\nHost: h" : "HTTP/1.1 200 OK";
        state now =
            reader.take(start + "\r\nTransfer-Encoding: chunked\r\n\r\n" + without_end, message);
        std::size_t sent = 0;
        while (now == state::more && sent < most_sent) {
            const std::string piece = lines ? "Note: 1\r\n" : "xxxxxxxxxx";
            sent += piece.size();
            now = reader.take(piece, message);
        }
        CHECK(now == state::refused);
        CHECK(reader.refusal_status() == 431);
        CHECK(sent <= 2 * limit);
    }
}

TEST_CASE("trailers within the limit are passed over, and longer ones refused, however they come") {
    constexpr std::size_t limit = 1024;
    const auto with_trailer = [](std::size_t size) {
        return "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n"
               "Note: " +
               std::string(size, 'x') + "\r\n\r\n";
    };
    for (const std::size_t piece : {std::size_t{1}, std::size_t{100}, std::size_t{1} << 20U}) {
        CAPTURE(piece);
        const auto read = [&](const std::string &text) {
            http_reader reader(requests, {.header_bytes = limit});
            collected message;
            state now = state::more;
            for (std::size_t at = 0; at < text.size() && now == state::more; at += piece) {
                now = reader.take(std::string_view(text).substr(at, piece), message);
            }
            return now;
        };
        CHECK(read(with_trailer(limit / 2)) == state::ended);
        CHECK(read(with_trailer(limit * 2)) == state::refused);
    }
}

TEST_CASE("an answer without a length is whole only when its connection ends") {
    http_reader reader(responses, {});
    collected sink;
    CHECK(reader.take("HTTP/1.1 200 OK\r\n\r\nsome", sink) == state::more);
    CHECK(sink.head.framing == body_framing::until_close);
    CHECK(reader.take(" more", sink) == state::more);
    CHECK(sink.ended == 0);
    CHECK(reader.take_end(sink) == state::ended);
    CHECK(sink.body == "some more");
}

TEST_CASE("an answer that ends early is not whole") {
    for (const char *text :
         {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort", "HTTP/1.1 200 OK\r\nCon",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n"}) {
        http_reader reader(responses, {});
        collected sink;
        CHECK(reader.take(text, sink) == state::more);
        CHECK(reader.take_end(sink) == state::refused);
        CHECK(sink.ended == 0);
    }
}

TEST_CASE("headers of one connection are not passed on") {
    http_head head;
    head.headers = {{"Connection", "X-Own, close"},
                    {"X-Own", "1"},
                    {"Keep-Alive", "timeout=5"},
                    {"X-Kept", "2"},
                    {"Expect", "x"},
                    {"transfer-encoding", "chunked"}};
    const auto kept = forwarded_headers(head);
    REQUIRE(kept.size() == 1);
    CHECK(kept[0].name == "X-Kept");
    CHECK(keep_alive_seconds(head) == 5);
}

TEST_CASE("a number above zero is read with its fraction, and nothing else is") {
    CHECK(parse_positive_number("16.25") == 16.25);
    CHECK(parse_positive_number("3") == 3);
    for (const char *wrong :
         {"", "0", "0.0", "-1", "+1", " 1", "1 ", "1e3", "nan", "inf", "1,5", "10000000000"}) {
        CHECK_FALSE(parse_positive_number(wrong));
    }
}

// Guards against the body of a request that waits for its turn being handed on with its head.
TEST_CASE("reading may pause after the head") {
    struct pausing final : http_message_sink {
        void on_head(http_head) override { reader->pause(); }
        void on_body(std::string_view piece) override { body.append(piece); }
        void on_message_end() override { ++ended; }
        http_reader *reader = nullptr;
        std::string body;
        int ended = 0;
    };
    const std::string start = "POST / HTTP/1.1\r\nHost: h\r\n";
    for (const std::string &rest :
         {std::string("\r\n"), std::string("Content-Length: 2\r\n\r\nab"),
          std::string("Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n1\r\nb\r\n0\r\n\r\n")}) {
        CAPTURE(rest);
        http_reader reader(requests, {});
        pausing sink;
        sink.reader = &reader;
        CHECK(reader.take(start + rest + "GET", sink) == state::paused);
        CHECK(sink.body.empty());
        CHECK(sink.ended == 0);
        CHECK(reader.take({}, sink) == state::ended);
        CHECK(sink.body == (rest.size() > 2 ? "ab" : ""));
        CHECK(sink.ended == 1);
        CHECK(reader.has_unread());
    }
}
