#include "peppertack/coordination/map_update_cache.hpp"

#include <doctest/doctest.h>
#include <set>

using namespace peppertack;

namespace {

constexpr std::size_t max_items = 512;
constexpr const char *one_service =
    "service,failure_domain,weight,max_in_flight,max_connections,max_queue\na,z,1,1,1,1\n";

/// A control state whose targets register one after the other, and the updates made from it.
struct fleet {
    fleet() { apply(change_table{"one", 0, one_service}); }

    void apply(command_body body) {
        state.apply(++index, {1000, "test", "because", std::move(body)});
    }
    void register_next() {
        const std::string name = "t" + std::to_string(index);
        target_record record{.name = name, .service = "a", .failure_domain = "z"};
        record.node_address = name;
        record.incarnation = 1;
        apply(register_target{record});
    }

    control_state state;
    std::uint64_t index = 0;
    std::vector<map_update> encoded;
    map_update_cache updates{state, max_items, [this](const map_update &map) {
                                 encoded.push_back(map);
                                 return std::string("map");
                             }};
};

} // namespace

TEST_CASE("nodes that return together are sent one encoded map, and what changed since") {
    // Guards against one whole map in the leader's memory for each of them: a third of 995 nodes
    // came back at once, and the leader's thread stood still for 0.3 s.
    fleet all;
    for (int i = 0; i < 300; ++i) {
        all.register_next();
    }
    std::set<std::shared_ptr<const std::string>> sent;
    for (int i = 0; i < 300; ++i) {
        REQUIRE(all.updates.sends_whole(0));
        const map_update_cache::encoded_map &whole = all.updates.whole();
        sent.insert(whole.bytes);
        const map_update rest = all.updates.since(whole.version);
        CHECK(all.encoded.back().targets.size() + rest.targets.size() >= 300U + i);
        CHECK(rest.from == whole.version);
        CHECK(rest.to == all.state.version());
        all.register_next();
    }
    CHECK(sent.size() == 1);
}

TEST_CASE("an encoded map is made anew once too much has changed since") {
    fleet all;
    CHECK(all.updates.whole().version == all.state.version());
    for (std::size_t i = 0; i <= max_items; ++i) {
        all.register_next();
    }
    CHECK(all.updates.whole().version == all.state.version());
    CHECK(all.encoded.size() == 2);
}

TEST_CASE("a node that lags behind by most of the map is sent a whole one") {
    // Guards against parts made for each node while all ranges of a large service get their owners:
    // 985 nodes took the leader's memory to 199 MB, and its thread stood still for 0.8 s.
    fleet all;
    all.register_next();
    const std::uint64_t seen = all.state.version();
    for (std::size_t i = 0; i < max_items; ++i) {
        all.register_next();
    }
    CHECK_FALSE(all.updates.sends_whole(seen)); // one part is enough
    all.register_next();
    CHECK(all.updates.sends_whole(seen));
    CHECK_FALSE(all.updates.sends_whole(all.state.version()));
}

TEST_CASE("a node that has a recent map is not sent a whole one") {
    fleet all;
    all.register_next();
    CHECK_FALSE(all.updates.sends_whole(all.state.version() - 1));
    CHECK(all.updates.sends_whole(all.state.version() + 1)); // of another history
    map_update_cache plain(all.state, max_items);
    CHECK_FALSE(plain.sends_whole(0));
}
