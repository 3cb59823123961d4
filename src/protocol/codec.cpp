#include "peppertack/protocol/codec.hpp"

#include "messages.capnp.h"
#include "peppertack/protocol/http_syntax.hpp"
#include "peppertack/state/text_compression.hpp"

#include <algorithm>
#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <capnp/serialize.h>
#include <cstring>
#include <kj/exception.h>
#include <kj/io.h>
#include <limits>
#include <stdexcept>

namespace peppertack {

namespace {

constexpr std::uint32_t ping_mark = 0;
constexpr std::uint32_t pong_mark = 0xffffffffU;
constexpr std::uint32_t packed_mark = 0x40000000U;
constexpr std::size_t small_message = 512; ///< words; larger ones are packed if they tell of maps
/// Words; larger messages are not packed. The map of 200 targets and 2,600 ranges is 30,000 words,
/// of which half are zero bytes.
constexpr std::size_t largest_packed = 64U << 10U;

static_assert(max_frame_size < packed_mark, "a size must not look like the mark");

/// A value on the wire that no version of this protocol writes.
struct bad_value : std::runtime_error {
    using std::runtime_error::runtime_error;
};

kj::ArrayPtr<const kj::byte> data_of(std::string_view text) {
    return {reinterpret_cast<const kj::byte *>(text.data()), text.size()};
}

kj::StringPtr text_of(const std::string &text) {
    return {text.c_str(), text.size()};
}

std::string string_of(capnp::Text::Reader text) {
    return {text.cStr(), text.size()};
}

std::string string_of(capnp::Data::Reader data) {
    return {reinterpret_cast<const char *>(data.begin()), data.size()};
}

template <class Enum> Enum enum_of(std::uint8_t value, Enum last) {
    if (value > static_cast<std::uint8_t>(last)) {
        throw bad_value("a value outside its enumeration");
    }
    return static_cast<Enum>(value);
}

template <class Enum> std::uint8_t byte_of(Enum value) {
    return static_cast<std::uint8_t>(value);
}

template <class List, class Items, class Write>
void write_list(List list, const Items &items, Write write_item) {
    unsigned int at = 0;
    for (const auto &item : items) {
        write_item(item, list[at++]);
    }
}

template <class Item, class List, class Read> std::vector<Item> read_list(List list, Read read) {
    std::vector<Item> items;
    items.reserve(list.size());
    for (const auto item : list) {
        items.push_back(read(item));
    }
    return items;
}

void write_numbers(capnp::List<std::uint64_t>::Builder list,
                   const std::vector<std::uint64_t> &numbers) {
    for (unsigned int at = 0; at < list.size(); ++at) {
        list.set(at, numbers[at]);
    }
}

std::vector<std::uint64_t> read_numbers(capnp::List<std::uint64_t>::Reader list) {
    std::vector<std::uint64_t> numbers;
    numbers.reserve(list.size());
    for (const std::uint64_t number : list) {
        numbers.push_back(number);
    }
    return numbers;
}

void write_texts(capnp::List<capnp::Text>::Builder list, const std::vector<std::string> &texts) {
    for (unsigned int at = 0; at < list.size(); ++at) {
        list.set(at, text_of(texts[at]));
    }
}

std::vector<std::string> read_texts(capnp::List<capnp::Text>::Reader list) {
    return read_list<std::string>(list, [](capnp::Text::Reader item) { return string_of(item); });
}

unsigned int size_of(std::size_t size) {
    if (size > std::numeric_limits<std::uint32_t>::max() / 2) {
        throw bad_value("a list is too long");
    }
    return static_cast<unsigned int>(size);
}

// ---- parts ----

void write(const log_entry &value, wire::LogEntry::Builder out) {
    out.setIndex(value.index);
    out.setTerm(value.term);
    out.setKind(byte_of(value.kind));
    out.setPayload(data_of(value.payload));
}

log_entry read(wire::LogEntry::Reader in) {
    return {in.getIndex(), in.getTerm(), enum_of(in.getKind(), entry_kind::members),
            string_of(in.getPayload())};
}

void write(const header_field &value, wire::Header::Builder out) {
    out.setName(text_of(value.name));
    out.setValue(text_of(value.value));
}

header_field read(wire::Header::Reader in) {
    return {string_of(in.getName()), string_of(in.getValue())};
}

void write(const request_id &value, wire::RequestId::Builder out) {
    out.setIncarnation(value.incarnation);
    out.setSequence(value.sequence);
}

request_id read(wire::RequestId::Reader in) {
    return {in.getIncarnation(), in.getSequence()};
}

void write(const target_record &value, wire::Target::Builder out) {
    out.setNumber(value.number);
    out.setName(text_of(value.name));
    out.setService(text_of(value.service));
    out.setFailureDomain(text_of(value.failure_domain));
    out.setAddress(text_of(value.node_address));
    out.setIncarnation(value.incarnation);
    out.setSlots(value.slots);
    out.setConnections(value.connections);
    out.setChecksTokens(value.checks_tokens);
    out.setPhase(byte_of(value.phase));
    out.setStandby(value.standby);
    out.setStandbyReady(value.standby_ready);
    out.setStandbyEpoch(value.standby_epoch);
}

target_record read_record(wire::Target::Reader in) {
    return {.number = in.getNumber(),
            .name = string_of(in.getName()),
            .service = string_of(in.getService()),
            .failure_domain = string_of(in.getFailureDomain()),
            .node_address = string_of(in.getAddress()),
            .incarnation = in.getIncarnation(),
            .slots = in.getSlots(),
            .connections = in.getConnections(),
            .checks_tokens = in.getChecksTokens(),
            .phase = enum_of(in.getPhase(), target_phase::gone),
            .standby = in.getStandby(),
            .standby_ready = in.getStandbyReady(),
            .standby_epoch = in.getStandbyEpoch()};
}

void write(const target_route &value, wire::Target::Builder out) {
    out.setNumber(value.number);
    out.setName(text_of(value.name));
    out.setService(text_of(value.service));
    out.setFailureDomain(text_of(value.failure_domain));
    out.setAddress(text_of(value.address));
    out.setSlots(value.slots);
    out.setPhase(byte_of(value.phase));
    out.setStandby(value.standby);
    out.setStandbyReady(value.standby_ready);
    out.setStandbyEpoch(value.standby_epoch);
}

target_route read_route(wire::Target::Reader in) {
    return {.number = in.getNumber(),
            .name = string_of(in.getName()),
            .service = string_of(in.getService()),
            .failure_domain = string_of(in.getFailureDomain()),
            .address = string_of(in.getAddress()),
            .phase = enum_of(in.getPhase(), target_phase::gone),
            .slots = in.getSlots(),
            .standby = in.getStandby(),
            .standby_ready = in.getStandbyReady(),
            .standby_epoch = in.getStandbyEpoch()};
}

void write(const range_record &value, wire::Range::Builder out) {
    out.setFirst(value.first);
    out.setOwner(value.owner);
    out.setToken(value.token);
    out.setNext(value.next);
    out.setMemory(byte_of(value.memory));
    out.setRecoverFrom(value.recover_from);
    out.setRecoverOf(value.recover_of);
    out.setLostAtMs(value.lost_at_ms);
    out.setHandover(text_of(value.handover));
}

range_record read(wire::Range::Reader in) {
    return {.first = in.getFirst(),
            .owner = in.getOwner(),
            .token = in.getToken(),
            .next = in.getNext(),
            .memory = enum_of(in.getMemory(), idempotency_state::lost),
            .recover_from = in.getRecoverFrom(),
            .recover_of = in.getRecoverOf(),
            .lost_at_ms = in.getLostAtMs(),
            .handover = string_of(in.getHandover())};
}

void write(const crash_report &value, wire::CrashReport::Builder out) {
    out.setTarget(text_of(value.target));
    out.setLife(value.life);
    write_numbers(out.initRunning(size_of(value.running.size())), value.running);
}

crash_report read(wire::CrashReport::Reader in) {
    return {string_of(in.getTarget()), in.getLife(), read_numbers(in.getRunning())};
}

void write(const range_report &value, wire::RangeReport::Builder out) {
    out.setService(text_of(value.service));
    out.setFirst(value.first);
    out.setToken(value.token);
    out.setTo(value.to);
    out.setHandover(text_of(value.handover));
}

range_report read(wire::RangeReport::Reader in) {
    return {string_of(in.getService()), in.getFirst(), in.getToken(), in.getTo(),
            string_of(in.getHandover())};
}

void write(const range_load &value, wire::RangeLoad::Builder out) {
    out.setFirst(value.first);
    out.setRequests(value.requests);
    write_numbers(out.initCuts(size_of(value.split_points.size())), value.split_points);
}

void write(const hot_key &value, wire::RangeLoad::Builder out) {
    out.setFirst(value.hash);
    out.setRequests(value.requests);
}

void write(const service_ranges &value, wire::ServiceRanges::Builder out) {
    out.setService(text_of(value.service));
    out.setWhole(value.whole);
    write_list(out.initRanges(size_of(value.ranges.size())), value.ranges,
               [](const range_record &item, auto builder) { write(item, builder); });
    auto removed = out.initRemoved(size_of(value.removed.size()));
    for (unsigned int i = 0; i < removed.size(); ++i) {
        removed.set(i, value.removed[i]);
    }
}

service_ranges read(wire::ServiceRanges::Reader in) {
    service_ranges value{.service = string_of(in.getService()), .whole = in.getWhole()};
    value.ranges = read_list<range_record>(in.getRanges(), [](auto item) { return read(item); });
    value.removed =
        read_list<std::uint64_t>(in.getRemoved(), [](std::uint64_t item) { return item; });
    return value;
}

void write(const map_update &value, wire::MapUpdate::Builder out) {
    out.setFrom(value.from);
    out.setTo(value.to);
    out.setAsOf(value.as_of);
    write_list(out.initTargets(size_of(value.targets.size())), value.targets,
               [](const target_route &item, auto builder) { write(item, builder); });
    write_list(out.initServices(size_of(value.services.size())), value.services,
               [](const service_ranges &item, auto builder) { write(item, builder); });
}

map_update read(wire::MapUpdate::Reader in) {
    map_update value{.from = in.getFrom(), .to = in.getTo(), .as_of = in.getAsOf()};
    value.targets =
        read_list<target_route>(in.getTargets(), [](auto item) { return read_route(item); });
    value.services =
        read_list<service_ranges>(in.getServices(), [](auto item) { return read(item); });
    return value;
}

void write(const caller_request &value, wire::CallerRequest::Builder out) {
    out.setService(text_of(value.service));
    out.setKey(data_of(value.key));
    out.setMethod(text_of(value.method));
    out.setPath(text_of(value.path));
    write_list(out.initHeaders(size_of(value.headers.size())), value.headers,
               [](const header_field &item, auto builder) { write(item, builder); });
    if (value.body) {
        out.setBody(data_of(*value.body));
    }
    out.setRepeatable(value.repeatable);
    out.setIdempotencyKey(data_of(value.idempotency_key));
    out.setTimeLeftUs(value.time_left.count());
}

body_bytes read_body(bool present, capnp::Data::Reader in) {
    return present ? std::make_shared<const std::string>(string_of(in)) : nullptr;
}

caller_request read(wire::CallerRequest::Reader in) {
    caller_request value;
    value.service = string_of(in.getService());
    value.key = string_of(in.getKey());
    value.method = string_of(in.getMethod());
    value.path = string_of(in.getPath());
    value.headers = read_list<header_field>(in.getHeaders(), [](auto item) { return read(item); });
    value.body = read_body(in.hasBody(), in.getBody());
    value.repeatable = in.getRepeatable();
    value.idempotency_key = string_of(in.getIdempotencyKey());
    value.time_left = duration(in.getTimeLeftUs());
    return value;
}

void write(const caller_response &value, wire::CallerResponse::Builder out) {
    out.setResult(byte_of(value.result));
    out.setError(byte_of(value.error));
    out.setStatus(static_cast<std::uint16_t>(value.status));
    write_list(out.initHeaders(size_of(value.headers.size())), value.headers,
               [](const header_field &item, auto builder) { write(item, builder); });
    if (value.body) {
        out.setBody(data_of(*value.body));
    }
    out.setOwner(text_of(value.owner));
    out.setOwnerAddress(text_of(value.owner_address));
    out.setToken(value.token);
    out.setRetryAfterUs(value.retry_after.count());
}

/// Whether a target's answer can be passed on. A peer that checks less may have taken bytes for an
/// answer that are none.
bool is_answer(const caller_response &value) {
    return is_final_status(value.status) &&
           std::all_of(value.headers.begin(), value.headers.end(),
                       [](const header_field &field) { return is_field_name(field.name); });
}

caller_response read(wire::CallerResponse::Reader in) {
    caller_response value;
    value.result = enum_of(in.getResult(), outcome::unknown);
    value.error = enum_of(in.getError(), error_kind::cancelled);
    value.status = in.getStatus();
    value.headers = read_list<header_field>(in.getHeaders(), [](auto item) { return read(item); });
    value.body = read_body(in.hasBody(), in.getBody());
    value.owner = string_of(in.getOwner());
    value.owner_address = string_of(in.getOwnerAddress());
    value.token = in.getToken();
    value.retry_after = duration(in.getRetryAfterUs());
    const bool answered = value.result == outcome::ran && value.error == error_kind::none;
    if (answered && !is_answer(value)) {
        value.result = outcome::unknown;
        value.error = error_kind::target_lost;
        value.status = 0;
        value.headers.clear();
        value.body = nullptr;
    }
    return value;
}

void write(const remembered_key &value, wire::RememberedKey::Builder out) {
    out.setService(text_of(value.service));
    out.setHash(value.hash);
    out.setIdempotencyKey(data_of(value.idempotency_key));
    out.setFingerprint(value.fingerprint);
    out.setPhase(byte_of(value.phase));
    out.setWallMs(value.wall_ms);
    write(value.response, out.initResponse());
}

remembered_key read(wire::RememberedKey::Reader in) {
    return {.service = string_of(in.getService()),
            .hash = in.getHash(),
            .idempotency_key = string_of(in.getIdempotencyKey()),
            .fingerprint = in.getFingerprint(),
            .phase = enum_of(in.getPhase(), key_phase::erased),
            .wall_ms = in.getWallMs(),
            .response = read(in.getResponse())};
}

// ---- messages: each has a writer and a reader ----

void put(const vote_request &value, wire::Message::Builder message) {
    auto out = message.initVoteRequest();
    out.setTerm(value.term);
    out.setLastIndex(value.last_index);
    out.setLastTerm(value.last_term);
    out.setPreVote(value.pre_vote);
}

message get(wire::VoteRequest::Reader in) {
    return vote_request{in.getTerm(), in.getLastIndex(), in.getLastTerm(), in.getPreVote()};
}

void put(const vote_reply &value, wire::Message::Builder message) {
    auto out = message.initVoteReply();
    out.setTerm(value.term);
    out.setPreVote(value.pre_vote);
    out.setGranted(value.granted);
}

message get(wire::VoteReply::Reader in) {
    return vote_reply{in.getTerm(), in.getPreVote(), in.getGranted()};
}

void put(const append_request &value, wire::Message::Builder message) {
    auto out = message.initAppendRequest();
    out.setTerm(value.term);
    out.setPreviousIndex(value.previous_index);
    out.setPreviousTerm(value.previous_term);
    out.setCommitIndex(value.commit_index);
    out.setRound(value.round);
    write_list(out.initEntries(size_of(value.entries.size())), value.entries,
               [](const log_entry &item, auto builder) { write(item, builder); });
}

message get(wire::AppendRequest::Reader in) {
    append_request value{.term = in.getTerm(),
                         .previous_index = in.getPreviousIndex(),
                         .previous_term = in.getPreviousTerm(),
                         .commit_index = in.getCommitIndex(),
                         .round = in.getRound()};
    value.entries = read_list<log_entry>(in.getEntries(), [](auto item) { return read(item); });
    for (std::size_t i = 0; i < value.entries.size(); ++i) {
        if (value.entries[i].index != value.previous_index + i + 1) {
            throw bad_value("log entries that do not follow each other");
        }
    }
    return value;
}

void put(const append_reply &value, wire::Message::Builder message) {
    auto out = message.initAppendReply();
    out.setTerm(value.term);
    out.setAccepted(value.accepted);
    out.setMatchIndex(value.match_index);
    out.setRound(value.round);
}

message get(wire::AppendReply::Reader in) {
    return append_reply{in.getTerm(), in.getAccepted(), in.getMatchIndex(), in.getRound()};
}

void put(const snapshot_request &value, wire::Message::Builder message) {
    auto out = message.initSnapshotRequest();
    out.setTerm(value.term);
    out.setRound(value.round);
    out.setIndex(value.snapshot.index);
    out.setSnapshotTerm(value.snapshot.term);
    out.setMembers(data_of(value.snapshot.members));
    out.setState(data_of(value.snapshot.state));
}

message get(wire::SnapshotRequest::Reader in) {
    return snapshot_request{in.getTerm(),
                            in.getRound(),
                            {in.getIndex(), in.getSnapshotTerm(), string_of(in.getMembers()),
                             string_of(in.getState())}};
}

void put(const renew_request &value, wire::Message::Builder message) {
    auto out = message.initRenewRequest();
    out.setSequence(value.sequence);
    out.setMapVersion(value.map_version);
    out.setTableVersion(value.table_version);
    out.setRoutesVersion(value.routes_version);
    write(value.target, out.initTarget());
    out.setHasTarget(value.has_target);
    out.setDraining(value.draining);
    out.setGivingUp(value.giving_up);
    write_list(out.initReleased(size_of(value.released.size())), value.released,
               [](const range_report &item, auto builder) { write(item, builder); });
    write_list(out.initRestored(size_of(value.restored.size())), value.restored,
               [](const range_report &item, auto builder) { write(item, builder); });
    out.setSyncedStandby(value.synced_standby);
    out.setUnsyncedStandby(value.unsynced_standby);
    out.setStandbyEpoch(value.standby_epoch);
    out.setCapacity(value.capacity);
    write_list(out.initLoads(size_of(value.loads.size())), value.loads,
               [](const range_load &item, auto builder) { write(item, builder); });
    write_list(out.initHotKeys(size_of(value.hot_keys.size())), value.hot_keys,
               [](const hot_key &item, auto builder) { write(item, builder); });
    out.setWantsRelay(value.wants_relay);
    out.setSuspectsVersion(value.suspects_version);
    write_list(out.initCrashes(size_of(value.crashes.size())), value.crashes,
               [](const crash_report &item, auto builder) { write(item, builder); });
    write_numbers(out.initAcquitted(size_of(value.acquitted.size())), value.acquitted);
    out.setEvacuationsVersion(value.evacuations_version);
    out.setReadsEncodedMaps(true);
    if (!value.origin.empty()) {
        out.setOrigin(text_of(value.origin));
    }
}

message get(wire::RenewRequest::Reader in) {
    renew_request value;
    value.sequence = in.getSequence();
    value.map_version = in.getMapVersion();
    value.table_version = in.getTableVersion();
    value.routes_version = in.getRoutesVersion();
    value.target = read_record(in.getTarget());
    value.has_target = in.getHasTarget();
    value.draining = in.getDraining();
    value.giving_up = in.getGivingUp();
    const auto report = [](auto item) { return read(item); };
    value.released = read_list<range_report>(in.getReleased(), report);
    value.restored = read_list<range_report>(in.getRestored(), report);
    value.synced_standby = in.getSyncedStandby();
    value.unsynced_standby = in.getUnsyncedStandby();
    value.standby_epoch = in.getStandbyEpoch();
    value.capacity = in.getCapacity();
    value.loads = read_list<range_load>(in.getLoads(), [](auto item) {
        return range_load{item.getFirst(), item.getRequests(), read_numbers(item.getCuts())};
    });
    value.hot_keys = read_list<hot_key>(in.getHotKeys(), [](auto item) {
        return hot_key{item.getFirst(), item.getRequests()};
    });
    value.wants_relay = in.getWantsRelay();
    value.suspects_version = in.getSuspectsVersion();
    value.crashes = read_list<crash_report>(in.getCrashes(), [](auto item) { return read(item); });
    value.acquitted = read_numbers(in.getAcquitted());
    value.evacuations_version = in.getEvacuationsVersion();
    value.reads_encoded_maps = in.getReadsEncodedMaps();
    value.origin = string_of(in.getOrigin());
    return value;
}

map_update decode_map(std::string_view encoded);

void put(const renew_reply &value, wire::Message::Builder message) {
    auto out = message.initRenewReply();
    out.setSequence(value.sequence);
    out.setIsLeader(value.is_leader);
    out.setLeaderHint(text_of(value.leader_hint));
    out.setNumber(value.number);
    out.setRegistrationLost(value.registration_lost);
    out.setLeaseUs(value.lease.count());
    out.setTableVersion(value.table_version);
    out.setTableCsv(data_of(value.table_csv));
    out.setRoutesVersion(value.routes_version);
    out.setRoutes(data_of(value.routes));
    if (value.encoded_map) {
        out.setEncodedMap(data_of(*value.encoded_map));
    } else if (value.whole_map) {
        out.setEncodedMap(data_of(encode_map(*value.whole_map)));
    }
    write(value.map, out.initMap());
    write_texts(out.initVoters(size_of(value.voters.size())), value.voters);
    out.setSuspectsVersion(value.suspects_version);
    write_list(out.initSuspects(size_of(value.suspects.size())), value.suspects,
               [](const suspect_request &item, auto builder) {
                   builder.setFingerprint(item.fingerprint);
                   builder.setQuarantined(item.quarantined);
               });
    write_numbers(out.initCrashesRecorded(size_of(value.crashes_recorded.size())),
                  value.crashes_recorded);
    out.setEvacuationsVersion(value.evacuations_version);
    write_texts(out.initEvacuated(size_of(value.evacuated.size())), value.evacuated);
    if (!value.origin.empty()) {
        out.setOrigin(text_of(value.origin));
    }
}

message get(wire::RenewReply::Reader in) {
    renew_reply value;
    value.sequence = in.getSequence();
    value.is_leader = in.getIsLeader();
    value.leader_hint = string_of(in.getLeaderHint());
    value.number = in.getNumber();
    value.registration_lost = in.getRegistrationLost();
    value.lease = duration(in.getLeaseUs());
    value.table_version = in.getTableVersion();
    value.table_csv = string_of(in.getTableCsv());
    value.routes_version = in.getRoutesVersion();
    value.routes = string_of(in.getRoutes());
    if (in.getEncodedMap().size() > 0) {
        value.whole_map = decode_map(string_of(in.getEncodedMap()));
    }
    value.map = read(in.getMap());
    value.voters = read_texts(in.getVoters());
    value.suspects_version = in.getSuspectsVersion();
    value.suspects = read_list<suspect_request>(in.getSuspects(), [](auto item) {
        return suspect_request{item.getFingerprint(), item.getQuarantined()};
    });
    value.crashes_recorded = read_numbers(in.getCrashesRecorded());
    value.evacuations_version = in.getEvacuationsVersion();
    value.evacuated = read_texts(in.getEvacuated());
    value.origin = string_of(in.getOrigin());
    return value;
}

void put(const map_update &value, wire::Message::Builder message) {
    write(value, message.initMapUpdate());
}

message get(wire::MapUpdate::Reader in) {
    return read(in);
}

void put(const forward_request &value, wire::Message::Builder message) {
    auto out = message.initForwardRequest();
    write(value.id, out.initId());
    out.setOwner(value.owner);
    write(value.request, out.initRequest());
}

message get(wire::ForwardRequest::Reader in) {
    return forward_request{read(in.getId()), in.getOwner(), read(in.getRequest())};
}

void put(const forward_reply &value, wire::Message::Builder message) {
    auto out = message.initForwardReply();
    write(value.id, out.initId());
    write(value.response, out.initResponse());
}

message get(wire::ForwardReply::Reader in) {
    return forward_reply{read(in.getId()), read(in.getResponse())};
}

void put(const fate_query &value, wire::Message::Builder message) {
    auto out = message.initFateQuery();
    write(value.id, out.initId());
    out.setOwner(value.owner);
    out.setAgeUs(value.age.count());
}

message get(wire::FateQuery::Reader in) {
    return fate_query{read(in.getId()), in.getOwner(), duration(in.getAgeUs())};
}

void put(const fate_reply &value, wire::Message::Builder message) {
    auto out = message.initFateReply();
    write(value.id, out.initId());
    out.setFate(byte_of(value.fate));
    write(value.response, out.initResponse());
}

message get(wire::FateReply::Reader in) {
    return fate_reply{read(in.getId()), enum_of(in.getFate(), request_fate::forgotten),
                      read(in.getResponse())};
}

void put(const cancel_request &value, wire::Message::Builder message) {
    write(value.id, message.initCancelRequest().initId());
}

message get(wire::CancelRequest::Reader in) {
    return cancel_request{read(in.getId())};
}

void put(const remember_request &value, wire::Message::Builder message) {
    auto out = message.initRememberRequest();
    out.setSequence(value.sequence);
    out.setOwner(value.owner);
    out.setHolder(value.holder);
    out.setReplaceAll(value.replace_all);
    out.setHandover(value.handover);
    write_list(out.initKeys(size_of(value.keys.size())), value.keys,
               [](const remembered_key &item, auto builder) { write(item, builder); });
}

message get(wire::RememberRequest::Reader in) {
    return remember_request{in.getSequence(),
                            in.getOwner(),
                            in.getHolder(),
                            in.getReplaceAll(),
                            in.getHandover(),
                            read_list<remembered_key>(in.getKeys(), [](auto item) { return read(item); })};
}

void put(const remember_reply &value, wire::Message::Builder message) {
    auto out = message.initRememberReply();
    out.setSequence(value.sequence);
    out.setHandover(value.handover);
    out.setHeld(value.held);
}

message get(wire::RememberReply::Reader in) {
    return remember_reply{in.getSequence(), in.getHandover(), in.getHeld()};
}

void put(const recall_request &value, wire::Message::Builder message) {
    auto out = message.initRecallRequest();
    out.setSequence(value.sequence);
    out.setLostOwner(value.lost_owner);
    out.setHolder(value.holder);
    out.setService(text_of(value.service));
    out.setFirst(value.first);
    out.setLast(value.last);
}

message get(wire::RecallRequest::Reader in) {
    return recall_request{in.getSequence(),           in.getLostOwner(), in.getHolder(),
                          string_of(in.getService()), in.getFirst(),     in.getLast()};
}

void put(const recall_reply &value, wire::Message::Builder message) {
    auto out = message.initRecallReply();
    out.setSequence(value.sequence);
    out.setHeld(value.held);
    write_list(out.initKeys(size_of(value.keys.size())), value.keys,
               [](const remembered_key &item, auto builder) { write(item, builder); });
}

message get(wire::RecallReply::Reader in) {
    return recall_reply{
        in.getSequence(), in.getHeld(),
        read_list<remembered_key>(in.getKeys(), [](auto item) { return read(item); })};
}

void put(const join_request &value, wire::Message::Builder message) {
    auto out = message.initJoinRequest();
    out.setIdentity(text_of(value.identity));
    out.setLeaving(value.leaving);
}

message get(wire::JoinRequest::Reader in) {
    return join_request{string_of(in.getIdentity()), in.getLeaving()};
}

hello get_hello(wire::Hello::Reader in) {
    return {in.getVersion(), string_of(in.getAddress()), string_of(in.getSecret()),
            string_of(in.getTo())};
}

decoded read_any(wire::Message::Reader in) {
    switch (in.which()) {
    case wire::Message::VOTE_REQUEST: return get(in.getVoteRequest());
    case wire::Message::VOTE_REPLY: return get(in.getVoteReply());
    case wire::Message::APPEND_REQUEST: return get(in.getAppendRequest());
    case wire::Message::APPEND_REPLY: return get(in.getAppendReply());
    case wire::Message::SNAPSHOT_REQUEST: return get(in.getSnapshotRequest());
    case wire::Message::RENEW_REQUEST: return get(in.getRenewRequest());
    case wire::Message::RENEW_REPLY: return get(in.getRenewReply());
    case wire::Message::MAP_UPDATE: return get(in.getMapUpdate());
    case wire::Message::FORWARD_REQUEST: return get(in.getForwardRequest());
    case wire::Message::FORWARD_REPLY: return get(in.getForwardReply());
    case wire::Message::FATE_QUERY: return get(in.getFateQuery());
    case wire::Message::FATE_REPLY: return get(in.getFateReply());
    case wire::Message::CANCEL_REQUEST: return get(in.getCancelRequest());
    case wire::Message::REMEMBER_REQUEST: return get(in.getRememberRequest());
    case wire::Message::REMEMBER_REPLY: return get(in.getRememberReply());
    case wire::Message::RECALL_REQUEST: return get(in.getRecallRequest());
    case wire::Message::RECALL_REPLY: return get(in.getRecallReply());
    case wire::Message::JOIN_REQUEST: return get(in.getJoinRequest());
    case wire::Message::HELLO: return get_hello(in.getHello());
    }
    throw bad_value("an unknown kind of message");
}

void fill(const message &value, capnp::MallocMessageBuilder &builder) {
    auto root = builder.initRoot<wire::Message>();
    std::visit([&](const auto &body) { put(body, root); }, value);
}

void fill(const hello &value, capnp::MallocMessageBuilder &builder) {
    auto out = builder.initRoot<wire::Message>().initHello();
    out.setVersion(value.version);
    out.setAddress(text_of(value.address));
    out.setSecret(text_of(value.secret));
    out.setTo(text_of(value.to));
}

capnp::ReaderOptions limits_for(std::size_t words) {
    capnp::ReaderOptions limits;
    limits.traversalLimitInWords = 4 * words + 1024;
    limits.nestingLimit = 16;
    return limits;
}

/// Runs a reader and turns whatever it throws into a reason.
template <class Read> std::optional<decoded> guarded(std::string &reason, Read reader) {
    try {
        return reader();
    } catch (const kj::Exception &error) {
        reason = error.getDescription().cStr();
    } catch (const std::exception &error) {
        reason = error.what();
    }
    return std::nullopt;
}

std::string flat(capnp::MallocMessageBuilder &builder) {
    const auto words = capnp::messageToFlatArray(builder);
    const auto bytes = words.asBytes();
    return {reinterpret_cast<const char *>(bytes.begin()), bytes.size()};
}

/// Calls `use` with the words of a message; copies them if they are not aligned, since the library
/// reads whole words.
template <class Use> auto with_words(std::string_view bytes, Use use) {
    const bool aligned = reinterpret_cast<std::uintptr_t>(bytes.data()) % alignof(capnp::word) == 0;
    kj::Array<capnp::word> copy;
    const auto *words = reinterpret_cast<const capnp::word *>(bytes.data());
    const std::size_t count = bytes.size() / sizeof(capnp::word);
    if (!aligned) {
        copy = kj::heapArray<capnp::word>(count);
        std::memcpy(copy.begin(), bytes.data(), bytes.size());
        words = copy.begin();
    }
    return use(kj::ArrayPtr<const capnp::word>(words, count));
}

map_update decode_map(std::string_view encoded) {
    const auto bytes = decompress_text(encoded, max_frame_size);
    if (!bytes || bytes->empty() || bytes->size() % sizeof(capnp::word) != 0) {
        throw bad_value("a map that can't be inflated");
    }
    return with_words(*bytes, [](kj::ArrayPtr<const capnp::word> words) {
        capnp::FlatArrayMessageReader reader(words, limits_for(words.size()));
        return read(reader.getRoot<wire::MapUpdate>());
    });
}

} // namespace

std::string encode_map(const map_update &value) {
    capnp::MallocMessageBuilder builder;
    write(value, builder.initRoot<wire::MapUpdate>());
    return compress_text(flat(builder));
}

std::string encode(const message &value) {
    capnp::MallocMessageBuilder builder;
    fill(value, builder);
    return flat(builder);
}

std::string encode(const hello &value) {
    capnp::MallocMessageBuilder builder;
    fill(value, builder);
    return flat(builder);
}

std::optional<decoded> decode_message(std::string_view bytes, std::string &reason) {
    if (bytes.size() % sizeof(capnp::word) != 0 || bytes.empty()) {
        reason = "a message of " + std::to_string(bytes.size()) + " bytes";
        return std::nullopt;
    }
    return guarded(reason, [&] {
        return with_words(bytes, [](kj::ArrayPtr<const capnp::word> words) {
            capnp::FlatArrayMessageReader reader(words, limits_for(words.size()));
            return read_any(reader.getRoot<wire::Message>());
        });
    });
}

std::optional<decoded> decode_packed(std::string_view bytes, std::string &reason) {
    return guarded(reason, [&] {
        kj::ArrayInputStream stream(data_of(bytes));
        capnp::PackedMessageReader reader(stream, limits_for(largest_packed));
        return read_any(reader.getRoot<wire::Message>());
    });
}

namespace {

std::string header_of(std::uint32_t value) {
    std::string header;
    for (std::size_t i = 0; i < frame_header_size; ++i) {
        header += static_cast<char>((value >> (8 * i)) & 0xffU);
    }
    return header;
}

/// `sparse`: most of a large one is zero bytes, unlike the body of a request.
std::string frame_from(capnp::MallocMessageBuilder &builder, bool sparse) {
    const std::size_t most = sparse ? largest_packed : small_message;
    if (builder.sizeInWords() > most) {
        const std::string bytes = flat(builder);
        return header_of(static_cast<std::uint32_t>(bytes.size())) + bytes;
    }
    kj::VectorOutputStream packed;
    capnp::writePackedMessage(packed, builder);
    const auto bytes = packed.getArray();
    return header_of(static_cast<std::uint32_t>(bytes.size()) | packed_mark)
        .append(reinterpret_cast<const char *>(bytes.begin()), bytes.size());
}

} // namespace

frame_header read_frame_header(const char *bytes) {
    std::uint32_t value = 0;
    for (std::size_t i = 0; i < frame_header_size; ++i) {
        value |= static_cast<std::uint32_t>(static_cast<unsigned char>(bytes[i])) << (8 * i);
    }
    if (value == ping_mark || value == pong_mark) {
        return {.what = value == ping_mark ? frame_header::kind::ping : frame_header::kind::pong};
    }
    return {.size = value & ~packed_mark, .packed = (value & packed_mark) != 0};
}

std::string ping_frame() {
    return header_of(ping_mark);
}

std::string pong_frame() {
    return header_of(pong_mark);
}

std::string frame_of(const message &value) {
    capnp::MallocMessageBuilder builder;
    fill(value, builder);
    const bool sparse =
        std::holds_alternative<renew_reply>(value) || std::holds_alternative<map_update>(value);
    return frame_from(builder, sparse);
}

std::string frame_of(const hello &value) {
    capnp::MallocMessageBuilder builder;
    fill(value, builder);
    return frame_from(builder, false);
}

} // namespace peppertack
