#include "../coordination/fake_storage.hpp"
#include "peppertack/state/audit_log.hpp"
#include "peppertack/state/control_state.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace peppertack;
using namespace peppertack::testing;

namespace {

constexpr const char *one_service =
    "service,failure_domain,weight,max_in_flight,max_connections,max_queue\na,z,1,1,1,1\n";

/// Applies commands to a state with consecutive log indices.
class state_driver {
public:
    control_state state;

    control_state::applied apply(command_body body) {
        return state.apply(++m_index, {1000, "test", "because", std::move(body)});
    }
    target_number join(const std::string &name) {
        target_record record{.name = name, .service = "a", .failure_domain = "z"};
        record.node_address = name;
        record.incarnation = 1;
        apply(register_target{record});
        return state.find_target(name)->number;
    }

private:
    std::uint64_t m_index = 0;
};

} // namespace

TEST_CASE("of two table changes on one version one wins, and a resend gets the first answer") {
    // Guards against a lost edit or two operators whose changes both seem accepted. Both read
    // version 0 and send a change; one loses the response and resends. Occurs if changes apply in
    // order of arrival instead of by compare-and-set, or if a resend is evaluated again.
    state_driver driven;
    const auto first = driven.apply(change_table{"one", 0, one_service});
    const auto second = driven.apply(change_table{"two", 0, one_service});
    const auto again = driven.apply(change_table{"one", 0, one_service});
    CHECK(first.answer->error == error_kind::none);
    CHECK(first.answer->version == 1);
    CHECK(second.answer->error == error_kind::version_conflict);
    CHECK(second.answer->winner_change_id == "one");
    CHECK(again.answer == first.answer);
    CHECK(driven.state.table_version() == 1);
    CHECK_FALSE(again.audit);
}

TEST_CASE("a release for a cancelled move is void") {
    // Guards against two owners of a range. A hands the range over to B and reports the release; B
    // is lost and the move is cancelled, so A serves again; then the delayed report arrives. Range
    // and token are the same in both moves, so a report must also name the destination.
    state_driver driven;
    driven.apply(change_table{"one", 0, one_service});
    const target_number a = driven.join("a");
    const target_number b = driven.join("b");
    driven.apply(grant_ranges{"a", {{0, a}}});
    const fencing_token token = driven.state.find_range("a", 0)->token;
    driven.apply(plan_moves{"a", {{0, b}}});
    driven.apply(expire_targets{{b}});
    CHECK(driven.state.find_range("a", 0)->next == no_target);
    CHECK(driven.apply(release_range{"a", 0, token, b}).error == error_kind::cancelled);
    CHECK(driven.state.find_range("a", 0)->owner == a);
}

TEST_CASE("a second loss before recovery from the first marks the idempotency records as lost") {
    // Guards against running a payment twice after two losses. The owner is lost while its standby
    // has the keys; the new owner is lost before it has fetched them. Its empty standby copy must
    // not be taken for the complete records.
    state_driver driven;
    driven.apply(change_table{"one", 0, one_service});
    const target_number a = driven.join("a");
    const target_number b = driven.join("b");
    const target_number c = driven.join("c");
    driven.apply(grant_ranges{"a", {{0, a}}});
    driven.apply(set_standby{a, b, false, 0});
    const std::uint64_t epoch = driven.state.find_target(a)->standby_epoch;
    CHECK(driven.apply(set_standby{a, b, true, epoch + 1}).error == error_kind::cancelled);
    driven.apply(set_standby{a, b, true, epoch});
    driven.apply(expire_targets{{a}});
    CHECK(driven.state.find_range("a", 0)->memory == idempotency_state::fetch);
    CHECK(driven.state.find_range("a", 0)->recover_from == b);
    driven.apply(grant_ranges{"a", {{0, c}}});
    driven.apply(expire_targets{{c}});
    CHECK(driven.state.find_range("a", 0)->memory == idempotency_state::lost);
}

TEST_CASE("a report of restored keys from an owner lost since is void") {
    // Guards against running a payment twice after two losses. B takes over from A, fetches the
    // keys from A's standby and reports it, but is lost before the report is applied. The range
    // still has B's token, so without a check of the owner the report would mark the records
    // complete although they were lost with B.
    state_driver driven;
    driven.apply(change_table{"one", 0, one_service});
    const target_number a = driven.join("a");
    const target_number b = driven.join("b");
    const target_number c = driven.join("c");
    driven.apply(grant_ranges{"a", {{0, a}}});
    driven.apply(set_standby{a, c, false, 0});
    driven.apply(set_standby{a, c, true, driven.state.find_target(a)->standby_epoch});
    driven.apply(expire_targets{{a}});
    driven.apply(grant_ranges{"a", {{0, b}}});
    const fencing_token token = driven.state.find_range("a", 0)->token;
    const restore_memory report{"a", 0, token, b, idempotency_state::fetch};
    driven.apply(expire_targets{{b}});
    CHECK(driven.apply(report).error == error_kind::cancelled);
    CHECK(driven.state.find_range("a", 0)->memory == idempotency_state::lost);
}

TEST_CASE("a state survives encoding and decoding") {
    state_driver driven;
    driven.apply(change_table{"one", 0, one_service});
    const target_number a = driven.join("a");
    driven.apply(grant_ranges{"a", {{0, a}}});
    driven.apply(split_range{"a", 12345});
    std::string reason;
    const auto read = control_state::decode(driven.state.encode(), reason);
    REQUIRE(read);
    CHECK(read->encode() == driven.state.encode());
    CHECK(read->find_range("a", 12346)->first == 12345);
    CHECK(read->find_range("a", 12344)->first == 0);
    CHECK_FALSE(control_state::decode("{\"v\":9}", reason));
    CHECK_FALSE(reason.empty());
}

TEST_CASE("evacuations survive snapshots, and an order that changes nothing is void") {
    // Guards against an acknowledged evacuation that is gone once the log was compacted.
    state_driver driven;
    CHECK(driven.state.evacuations_version() == 0);
    CHECK(driven.apply(evacuate_domain{"z"}).audit);
    CHECK(driven.apply(evacuate_domain{"y"}).audit);
    const auto again = driven.apply(evacuate_domain{"z"});
    CHECK(again.error == error_kind::cancelled);
    CHECK_FALSE(again.audit);
    CHECK(driven.state.evacuations_version() == 2);
    driven.apply(evacuate_domain{.domain = "y", .withdrawn = true});
    std::string reason;
    const auto restored = control_state::decode(driven.state.encode(), reason);
    REQUIRE_MESSAGE(restored, reason);
    CHECK(restored->evacuated() == std::set<std::string>{"z"});
    CHECK(restored->evacuations_version() == 4);
}

TEST_CASE("a snapshot from before there were evacuations is read") {
    state_driver driven;
    driven.apply(change_table{"one", 0, one_service});
    std::string text = driven.state.encode();
    for (const std::string field : {R"("evacuated":[],)", R"("evacuations_version":0,)"}) {
        const std::size_t at = text.find(field);
        REQUIRE(at != std::string::npos);
        text.erase(at, field.size());
    }
    std::string reason;
    const auto restored = control_state::decode(text, reason);
    REQUIRE_MESSAGE(restored, reason);
    CHECK(restored->evacuated().empty());
}

TEST_CASE("old registrations that ended are removed") {
    state_driver driven;
    driven.apply(change_table{"one", 0, one_service});
    for (int i = 0; i < 2500; ++i) {
        driven.apply(expire_targets{{driven.join("t" + std::to_string(i))}});
    }
    CHECK(driven.state.targets().size() <= 1000);
}

TEST_CASE("verifying the audit chain detects changed and missing records") {
    fake_storage files;
    std::string reason;
    auto log = audit_log::open(files, {.segment_records = 3}, reason);
    REQUIRE(log);
    state_driver driven;
    log->append(*driven.apply(change_table{"one", 0, one_service}).audit);
    for (int i = 0; i < 7; ++i) {
        const target_number number = driven.join("t" + std::to_string(i));
        log->append(*driven.apply(drain_target{number}).audit);
    }
    std::vector<audit_record> records = log->read_all();
    CHECK_FALSE(verify_chain(records).intact); // registrations were not appended to this log
    records.clear();
    state_driver other;
    for (int i = 0; i < 4; ++i) {
        const std::string id = std::to_string(i);
        records.push_back(
            *other.apply(change_table{id, static_cast<std::uint64_t>(i), one_service}).audit);
    }
    CHECK(verify_chain(records).intact);
    records[2].actor = "somebody else";
    CHECK(verify_chain(records).faults.size() == 1);
    records.erase(records.begin() + 1);
    CHECK_FALSE(verify_chain(records).intact);
}

TEST_CASE("the audit log keeps records appended while the disk was full") {
    // Guards against permanent gaps in a voter's audit chain. If records are dropped with one
    // "audit_write_failed" log line each while the disk is full, the next successful write starts a
    // segment after the gap.
    fake_storage files;
    std::string reason;
    auto log = audit_log::open(files, {.segment_records = 3}, reason);
    REQUIRE(log);
    state_driver driven;
    auto decide = [&, version = std::uint64_t{0}]() mutable {
        const std::string id = std::to_string(version);
        return *driven.apply(change_table{id, version++, one_service}).audit;
    };
    CHECK(log->append(decide()));
    files.set_fault(fake_storage::fault::full);
    CHECK_FALSE(log->append(decide()));
    CHECK_FALSE(log->append(decide()));
    files.set_fault(fake_storage::fault::none);
    CHECK(log->append(decide()));
    CHECK(log->append(decide()));
    CHECK(log->last_sequence() == 5);
    const auto again = audit_log::open(files, {.segment_records = 3}, reason);
    REQUIRE(again);
    const std::vector<audit_record> records = again->read_all();
    CHECK(records.size() == 5);
    CHECK(verify_chain(records).intact);
}

TEST_CASE("corrupted input does not crash the decoders of commands, states and audit records") {
    const std::string written = encode(command{5, "a", "b", grant_ranges{"s", {{1, 2}}}});
    std::string reason;
    CHECK(decode_command(written, reason) == command{5, "a", "b", grant_ranges{"s", {{1, 2}}}});
    const command evacuation{6, "a", "b", evacuate_domain{.domain = "z", .withdrawn = true}};
    CHECK(decode_command(encode(evacuation), reason) == evacuation);
    CHECK(rc::check("changed bytes", [&] {
        std::string bytes = written;
        bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] = *rc::gen::arbitrary<char>();
        std::string why;
        decode_command(bytes, why);
        control_state::decode(bytes, why);
        decode_audit(bytes, why);
    }));
}
