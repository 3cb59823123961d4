#include "peppertack/transport/log_writer.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <functional>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <thread>
#include <unistd.h>
#include <vector>

using namespace peppertack;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t queue_bytes = 64U << 10U;
constexpr const char *dropped_event = "log_lines_dropped";
const std::string padding(100, 'x');

/// A pipe that takes 64 KB before its writers wait.
struct pipe_ends {
    pipe_ends() { REQUIRE(::pipe(ends) == 0); }
    ~pipe_ends() { close_reader(); } // the writer's thread may still use the other end
    pipe_ends(const pipe_ends &) = delete;
    pipe_ends &operator=(const pipe_ends &) = delete;
    void close_reader() {
        if (ends[0] >= 0) {
            ::close(ends[0]);
            ends[0] = -1;
        }
    }
    /// Reads until `done` says that there is enough.
    std::string read_until(const std::function<bool(const std::string &)> &done) {
        std::string all;
        std::vector<char> block(64U << 10U);
        while (!done(all)) {
            const ssize_t got = ::read(ends[0], block.data(), block.size());
            REQUIRE(got > 0);
            all.append(block.data(), static_cast<std::size_t>(got));
        }
        return all;
    }

    int ends[2] = {-1, -1};
};

std::vector<std::string> lines_of(const std::string &text) {
    std::vector<std::string> lines;
    std::size_t begin = 0;
    for (std::size_t end = text.find('\n'); end != std::string::npos;
         end = text.find('\n', begin)) {
        lines.push_back(text.substr(begin, end - begin));
        begin = end + 1;
    }
    CHECK(begin == text.size());
    return lines;
}

/// Lines that came, and lines that are told to have been dropped.
struct tally {
    std::uint64_t whole = 0;
    std::uint64_t told_dropped = 0;
};

tally count_lines(const std::string &text) {
    tally result;
    std::size_t begin = 0;
    for (std::size_t end = text.find('\n'); end != std::string::npos;
         end = text.find('\n', begin)) {
        const std::string line = text.substr(begin, end - begin);
        const auto fields = nlohmann::json::parse(line, nullptr, false);
        if (fields.is_object() && fields.value("event", "") == dropped_event) {
            result.told_dropped += fields.at("count").get<std::uint64_t>();
        } else if (line.size() == line.find(' ') + 1 + padding.size()) {
            ++result.whole;
        }
        begin = end + 1;
    }
    return result;
}

} // namespace

// Guards against a thread that stops serving because the reader of its log stalls.
TEST_CASE("lines that nobody reads block no thread, and the lost ones are counted") {
    constexpr std::uint64_t count = 4000;
    pipe_ends pipe;
    log_writer writer({.descriptor = pipe.ends[1], .queue_bytes = queue_bytes});
    for (std::uint64_t i = 0; i < count; ++i) {
        writer.write(std::to_string(i) + " " + padding + "\n", log_writer::priority::normal);
    }
    const std::uint64_t dropped = writer.dropped();
    CHECK(dropped > 0);
    CHECK_FALSE(writer.flush(1ms));
    const std::string text = pipe.read_until([&](const std::string &all) {
        const tally seen = count_lines(all);
        return seen.whole + seen.told_dropped >= count;
    });
    CHECK(writer.flush(10s));
    const tally seen = count_lines(text);
    CHECK(seen.whole + seen.told_dropped == count);
    CHECK(seen.told_dropped == dropped);
}

TEST_CASE("a queue full of lines about requests has room for warnings") {
    pipe_ends pipe;
    log_writer writer({.descriptor = pipe.ends[1], .queue_bytes = queue_bytes});
    const std::string line = std::string(100, 'x') + "\n";
    while (writer.dropped() == 0) {
        writer.write(line, log_writer::priority::normal);
    }
    const std::uint64_t dropped = writer.dropped();
    writer.write("warning\n", log_writer::priority::important);
    CHECK(writer.dropped() == dropped);
    pipe.read_until(
        [](const std::string &all) { return all.find("warning\n") != std::string::npos; });
}

// Guards against lines of several threads, longer than a page, that are mixed up.
TEST_CASE("lines of several threads stay whole") {
    constexpr int threads = 4;
    constexpr int each = 50;
    pipe_ends pipe;
    log_writer writer({.descriptor = pipe.ends[1], .queue_bytes = 8U << 20U});
    std::vector<std::thread> running;
    for (int thread = 0; thread < threads; ++thread) {
        running.emplace_back([&writer, thread] {
            const std::string line(5000, static_cast<char>('a' + thread));
            for (int i = 0; i < each; ++i) {
                writer.write(line + "\n", log_writer::priority::normal);
            }
        });
    }
    const std::string text = pipe.read_until([](const std::string &all) {
        return std::count(all.begin(), all.end(), '\n') == threads * each;
    });
    for (std::thread &thread : running) {
        thread.join();
    }
    for (const std::string &line : lines_of(text)) {
        CHECK(line == std::string(5000, line.at(0)));
    }
    CHECK(writer.dropped() == 0);
}

// Guards against a process that ends because the reader of its log has gone.
TEST_CASE("lines that a descriptor refuses count as dropped") {
    pipe_ends pipe;
    pipe.close_reader();
    log_writer writer({.descriptor = pipe.ends[1]});
    writer.write("one\n", log_writer::priority::normal);
    writer.write("two\n", log_writer::priority::normal);
    CHECK(writer.flush(10s));
    CHECK(writer.dropped() == 2);
}
