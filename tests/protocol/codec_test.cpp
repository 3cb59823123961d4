#include "peppertack/protocol/codec.hpp"
#include "peppertack/protocol/error_answer.hpp"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>
#include <set>

using namespace peppertack;

namespace {

caller_response sample_response() {
    return {.result = outcome::ran,
            .error = error_kind::none,
            .status = 201,
            .headers = {{"A", "b"}, {"A", "c"}},
            .body = std::make_shared<const std::string>(std::string("x\0y", 3)),
            .owner = "t",
            .owner_address = "h:1",
            .token = 99,
            .retry_after = duration(5)};
}

std::vector<message> samples() {
    caller_request request{.service = "s",
                           .key = std::string("k\0\xff", 3),
                           .method = "POST",
                           .path = "/s/s/k/k",
                           .headers = {{"H", "v"}}};
    request.body = std::make_shared<const std::string>("body");
    request.idempotency_key = "once";
    request.time_left = duration(1234);
    const remembered_key key{"s", 7, "once", 8, key_phase::answered, 9, sample_response()};
    renew_request renewal{.sequence = 4, .map_version = 5, .table_version = 6, .has_target = true};
    renewal.target = {.number = 3, .name = "n", .service = "s", .failure_domain = "f"};
    renewal.released = {{"s", 1, 2, 3, "handed"}};
    renewal.routes_version = 12;
    renewal.capacity = 140;
    renewal.wants_relay = true;
    renewal.reads_encoded_maps = true;
    renewal.origin = "n:3#4";
    renewal.restored = {{"s", 4, 5, 0}};
    renewal.loads = {{1, 2, {9, 12}}, {3, 4, {}}};
    renewal.hot_keys = {{3, 4}};
    renewal.standby_epoch = 77;
    renewal.suspects_version = 8;
    renewal.crashes = {{"t", 5, {6, 7}}};
    renewal.acquitted = {8};
    renewal.evacuations_version = 11;
    const map_update update{
        1,
        2,
        3,
        {{.number = 3, .name = "n", .address = "h:2"}},
        {{"s", true, {{.first = 9, .owner = 3, .token = 4, .handover = "h"}}, {5, 6}}}};
    return {vote_request{1, 2, 3, true},
            vote_reply{1, true, true},
            append_request{1, 2, 3, 4, 5, {{3, 1, entry_kind::command, "p"}}},
            append_reply{1, true, 3, 4},
            snapshot_request{1, 2, {3, 4, "m", "s"}},
            renewal,
            renew_reply{4,
                        true,
                        "h:1",
                        3,
                        true,
                        duration(800),
                        6,
                        "csv",
                        7,
                        "sheet",
                        nullptr,
                        update,
                        update,
                        {"h:1", "h:2"},
                        9,
                        {{5, true}, {6, false}},
                        {5},
                        11,
                        {"z"}},
            update,
            forward_request{{1, 2}, 3, request},
            forward_reply{{1, 2}, sample_response()},
            fate_query{{1, 2}, 3, duration(4)},
            fate_reply{{1, 2}, request_fate::answered, sample_response()},
            cancel_request{{1, 2}},
            remember_request{1, 2, 3, true, true, {key}},
            remember_reply{1, true, true},
            recall_request{1, 2, 3, "s", 4, 5},
            recall_reply{1, true, {key}},
            join_request{"h:1#2", true}};
}

} // namespace

TEST_CASE("every message is read back as it was written") {
    const std::vector<message> all = samples();
    CHECK(all.size() == std::variant_size_v<message>);
    for (std::size_t i = 0; i < all.size(); ++i) {
        CHECK(all[i].index() == i);
        const std::string bytes = encode(all[i]);
        std::string reason;
        const std::optional<decoded> read = decode_message(bytes, reason);
        REQUIRE_MESSAGE(read, reason);
        CHECK(encode(std::get<message>(*read)) == bytes);
        const std::string frame = frame_of(all[i]);
        const frame_header header = read_frame_header(frame.data());
        CHECK(header.size == frame.size() - frame_header_size);
        CHECK(header.packed);
        const std::optional<decoded> unpacked =
            decode_packed(std::string_view(frame).substr(frame_header_size), reason);
        REQUIRE_MESSAGE(unpacked, reason);
        CHECK(encode(std::get<message>(*unpacked)) == bytes);
    }
    const forward_reply large{{1, 2}, {.body = std::make_shared<const std::string>(90'000, 'x')}};
    CHECK_FALSE(read_frame_header(frame_of(message(large)).data()).packed);
    map_update whole{.from = 0, .to = 9, .as_of = 9, .services = {{.service = "s", .whole = true}}};
    for (std::uint64_t i = 0; i < 2600; ++i) {
        whole.services[0].ranges.push_back({.first = i << 40U, .owner = 7, .token = i});
    }
    const std::string map_frame = frame_of(message(whole));
    CHECK(read_frame_header(map_frame.data()).packed);
    CHECK(map_frame.size() * 2 < encode(message(whole)).size());
    std::string map_reason;
    const auto map_read =
        decode_packed(std::string_view(map_frame).substr(frame_header_size), map_reason);
    REQUIRE_MESSAGE(map_read, map_reason);
    CHECK(std::get<map_update>(std::get<message>(*map_read)) == whole);
    CHECK(read_frame_header(ping_frame().data()).what == frame_header::kind::ping);
    CHECK(read_frame_header(pong_frame().data()).what == frame_header::kind::pong);
    std::string reason;
    const hello greeting{1, "h:1", "secret"};
    CHECK(std::get<hello>(*decode_message(encode(greeting), reason)) == greeting);
}

// Guards against an answer that a peer, of another version perhaps, took in without a look at it.
TEST_CASE("a target's answer that is none in HTTP is read from a peer as lost") {
    const auto read_back = [](const caller_response &sent) {
        std::string reason;
        const auto read = decode_message(encode(message(forward_reply{{1, 2}, sent})), reason);
        REQUIRE_MESSAGE(read, reason);
        return std::get<forward_reply>(std::get<message>(*read)).response;
    };
    const auto check_lost = [&](const caller_response &sent) {
        const caller_response got = read_back(sent);
        CHECK(got.result == outcome::unknown);
        CHECK(got.error == error_kind::target_lost);
        CHECK(got.headers.empty());
        CHECK(got.body == nullptr);
        CHECK(got.token == sent.token);
    };
    for (const int status : {0, 99, 103, 600}) {
        caller_response sent = sample_response();
        sent.status = status;
        check_lost(sent);
    }
    for (const std::string &name : {std::string("Bad Name"), std::string("Bad\x01Name"),
                                    std::string("Length "), std::string()}) {
        caller_response sent = sample_response();
        sent.headers.push_back({name, "x"});
        check_lost(sent);
    }
    CHECK(read_back(sample_response()).result == outcome::ran);
    const caller_response refusal{.error = error_kind::overloaded}; // no target has answered
    CHECK(read_back(refusal).error == error_kind::overloaded);
}

TEST_CASE("hostile bytes get an error, never a crash") {
    const std::vector<message> all = samples();
    CHECK(rc::check("changed bytes of every message", [&] {
        std::string bytes = encode(all[*rc::gen::inRange<std::size_t>(0, all.size())]);
        const int changes = *rc::gen::inRange(1, 12);
        for (int i = 0; i < changes; ++i) {
            bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] = *rc::gen::arbitrary<char>();
        }
        bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size() + 1));
        std::string reason;
        const std::optional<decoded> read = decode_message(bytes, reason);
        RC_ASSERT(read.has_value() || !reason.empty());
        RC_ASSERT(decode_packed(bytes, reason).has_value() || !reason.empty());
    }));
    CHECK(rc::check("changed bytes of packed messages", [&] {
        std::string bytes =
            frame_of(all[*rc::gen::inRange<std::size_t>(0, all.size())]).substr(frame_header_size);
        const int changes = *rc::gen::inRange(1, 6);
        for (int i = 0; i < changes; ++i) {
            bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] = *rc::gen::arbitrary<char>();
        }
        std::string reason;
        RC_ASSERT(decode_packed(bytes, reason).has_value() || !reason.empty());
    }));
    CHECK(rc::check("arbitrary bytes", [](const std::string &bytes) {
        std::string reason;
        decode_message(bytes, reason);
    }));
}

TEST_CASE("entries that don't follow each other are refused") {
    std::string reason;
    const message bad = append_request{1, 2, 3, 4, 5, {{9, 1, entry_kind::command, "p"}}};
    CHECK_FALSE(decode_message(encode(bad), reason));
    CHECK(reason == "log entries that do not follow each other");
}

TEST_CASE("every kind of error has a name and an answer of its own") {
    std::set<std::string> names;
    for (int i = 0; i < error_kind_count; ++i) {
        const error_answer &answer = answer_for(static_cast<error_kind>(i));
        CHECK(names.insert(answer.name).second);
        CHECK((answer.status >= 400 || i == 0));
        const auto json = nlohmann::json::parse(
            problem_json(static_cast<error_kind>(i), "detail", outcome::unknown));
        CHECK(json["kind"] == answer.name);
        CHECK(json["outcome"] == "unknown");
    }
}
