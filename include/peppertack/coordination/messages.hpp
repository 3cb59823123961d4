#pragma once

#include "peppertack/state/crash_history.hpp"
#include "peppertack/state/durable_log.hpp"
#include "peppertack/state/error_kind.hpp"
#include "peppertack/state/records.hpp"
#include "peppertack/state/time.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace peppertack {

/// host:port of a process. Identifies a process to its peers.
using node_address = std::string;

// ---- between voters ----

struct vote_request {
    std::uint64_t term = 0;
    std::uint64_t last_index = 0;
    std::uint64_t last_term = 0;
    bool pre_vote = false;

    friend bool operator==(const vote_request &, const vote_request &) = default;
};

struct vote_reply {
    std::uint64_t term = 0;
    bool pre_vote = false;
    bool granted = false;

    friend bool operator==(const vote_reply &, const vote_reply &) = default;
};

struct append_request {
    std::uint64_t term = 0;
    std::uint64_t previous_index = 0;
    std::uint64_t previous_term = 0;
    std::uint64_t commit_index = 0;
    std::uint64_t round = 0; ///< increases; a reply that echoes it proves contact after it was sent
    std::vector<log_entry> entries;

    friend bool operator==(const append_request &, const append_request &) = default;
};

struct append_reply {
    std::uint64_t term = 0;
    bool accepted = false;
    std::uint64_t match_index = 0; ///< if refused: where the leader should try next
    std::uint64_t round = 0;

    friend bool operator==(const append_reply &, const append_reply &) = default;
};

struct snapshot_request {
    std::uint64_t term = 0;
    std::uint64_t round = 0;
    log_snapshot snapshot;

    friend bool operator==(const snapshot_request &, const snapshot_request &) = default;
};

/// Sent by a control process that asks to become a voter, or by a voter that is about to end
/// (`leaving`). Voters that do not lead forward it to the leader.
struct join_request {
    node_address identity;
    bool leaving = false;

    friend bool operator==(const join_request &, const join_request &) = default;
};

// ---- between nodes and the control plane ----

struct range_report {
    std::string service;
    std::uint64_t first = 0;
    fencing_token token = 0;
    target_number to = no_target; ///< for a release: target that holds the handed-over keys
    std::string
        handover; ///< for a release: opaque data from the old owner's target for the next one

    friend bool operator==(const range_report &, const range_report &) = default;
};

/// Requests counted for a range since the last renewal that carried loads.
struct range_load {
    std::uint64_t first = 0;
    std::uint32_t requests = 0;
    /// Ascending split points that divide a heavy range into lighter parts; empty otherwise.
    std::vector<std::uint64_t> split_points;

    friend bool operator==(const range_load &, const range_load &) = default;
};

struct hot_key {
    std::uint64_t hash = 0;
    std::uint32_t requests = 0; ///< since the last report; an upper bound

    friend bool operator==(const hot_key &, const hot_key &) = default;
};

/// A target incarnation that ended while it ran requests, with their fingerprints.
struct crash_report {
    std::string target;
    std::uint64_t life = 0; ///< incarnation of the registration
    std::vector<std::uint64_t> running;

    friend bool operator==(const crash_report &, const crash_report &) = default;
};

/// Requests or renews the lease of a node's target. Also carries the node's state report.
struct renew_request {
    std::uint64_t sequence = 0;
    std::uint64_t map_version = 0;
    std::uint64_t table_version = 0;
    std::uint64_t routes_version = 0;
    target_record target; ///< number is zero until the leader has assigned one
    bool has_target = false;
    bool draining = false;  ///< the target or its node is stopping
    bool giving_up = false; ///< the target is gone: the lease can end at once
    std::vector<range_report> released;
    std::vector<range_report> restored;
    target_number synced_standby = no_target; ///< holds a complete copy of the keys
    target_number unsynced_standby =
        no_target;                   ///< does not answer: must not count as a copy any more
    std::uint64_t standby_epoch = 0; ///< epoch to which these standby reports refer
    std::uint32_t capacity = 0; ///< measured requests per second the target can serve; 0 if unknown
    std::vector<range_load> loads;
    std::vector<hot_key> hot_keys;
    std::uint64_t suspects_version = 0; ///< version of the node's list of suspect requests
    std::vector<crash_report> crashes;  ///< repeated until a reply confirms that they are recorded
    std::vector<std::uint64_t> acquitted;  ///< suspect requests that a target has completed
    std::uint64_t evacuations_version = 0; ///< version of the node's set of evacuated domains
    /// The leader does not answer this node: the receiving voter should relay the request to it.
    bool wants_relay = false;
    bool reads_encoded_maps = false; ///< set by the codec of the requesting node
    node_address origin; ///< the requesting node if a voter relays the request; else empty

    friend bool operator==(const renew_request &, const renew_request &) = default;
};

struct target_route {
    target_number number = no_target;
    std::string name;
    std::string service;
    std::string failure_domain;
    node_address address;
    target_phase phase = target_phase::serving;
    std::uint32_t slots = 0;
    target_number standby = no_target;
    bool standby_ready = false;
    std::uint64_t standby_epoch = 0;

    friend bool operator==(const target_route &, const target_route &) = default;
};

struct service_ranges {
    std::string service;
    bool whole =
        false; ///< replaces all ranges of the service; else each record replaces or adds one
    std::vector<range_record> ranges;
    std::vector<std::uint64_t>
        removed; ///< first hashes of ranges that were merged into the previous one

    friend bool operator==(const service_ranges &, const service_ranges &) = default;
};

/// Change of the map from one version to a later one; `from` zero carries the full map. Records
/// hold their values as of version `as_of`, which is `to` or later: a large change is sent in
/// parts, and each part includes the receiver's own ranges in their current state.
struct map_update {
    std::uint64_t from = 0;
    std::uint64_t to = 0;
    std::uint64_t as_of = 0;
    std::vector<target_route> targets;
    std::vector<service_ranges> services;

    friend bool operator==(const map_update &, const map_update &) = default;
};

struct renew_reply {
    std::uint64_t sequence = 0;
    bool is_leader = false;
    node_address leader_hint;
    target_number number = no_target;
    bool registration_lost = false; ///< this registration has ended; the target must register again
    duration lease{};               ///< counted from when the request was sent; zero: none granted
    std::uint64_t table_version = 0;
    std::string table_csv; ///< only if newer than the node's
    std::uint64_t routes_version = 0;
    std::string routes; ///< packed delta to the node's routing table; empty if that is current
    /// A whole map, which `map` continues. The sender sets `encoded_map`, made once for all nodes
    /// that need it; the codec decodes it to `whole_map`.
    std::shared_ptr<const std::string> encoded_map;
    std::optional<map_update> whole_map;
    map_update map;
    std::vector<node_address> voters;
    std::uint64_t suspects_version = 0;
    std::vector<suspect_request> suspects; ///< the full list if the node's version differs
    std::vector<std::uint64_t>
        crashes_recorded; ///< incarnations, among those that the request reported
    std::uint64_t evacuations_version = 0;
    std::vector<std::string> evacuated; ///< all evacuated domains if the node's version differs
    node_address origin; ///< the requesting node if a voter must relay the reply; else empty

    friend bool operator==(const renew_reply &, const renew_reply &) = default;
};

// ---- between nodes ----

/// Identifies a request between two nodes. Unique: a process never repeats a sequence number and
/// picks a new incarnation at each start.
struct request_id {
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;

    friend auto operator<=>(const request_id &, const request_id &) = default;
};

struct header_field {
    std::string name;
    std::string value;

    friend bool operator==(const header_field &, const header_field &) = default;
};

/// Immutable body, shared by the threads and tables that handle one request.
using body_bytes = std::shared_ptr<const std::string>;

/// A caller's request.
struct caller_request {
    std::string service;
    std::string key;
    std::string method;
    std::string path; ///< as the target receives it, including the query
    std::vector<header_field> headers;
    body_bytes body;
    bool repeatable = false;
    std::string idempotency_key;
    duration time_left{}; ///< until the caller's deadline, at the time of hand-over
};

/// Returns a hash of method, path and body: equal for requests with the same content. Thread safe.
std::uint64_t fingerprint_of(const caller_request &request);

/// The outcome of a caller's request.
struct caller_response {
    outcome result = outcome::not_run;
    error_kind error = error_kind::none;
    int status = 0; ///< the target's HTTP status, if it answered
    std::vector<header_field> headers;
    body_bytes body;
    std::string owner; ///< name of the target that answered, or that owns the key
    node_address owner_address;
    fencing_token token = 0;
    duration retry_after{};
};

struct forward_request {
    request_id id;
    target_number owner = no_target; ///< registration that the sender considers the owner
    caller_request request;
};

struct forward_reply {
    request_id id;
    caller_response response;
};

/// Queries the status of a forwarded request without a reply. An owner that has never seen the
/// request refuses it from then on, so that "not run" is certain.
struct fate_query {
    request_id id;
    target_number owner = no_target; ///< registration that the request was sent to
    duration age{};                  ///< since it was sent
};

enum class request_fate : std::uint8_t { running, never_seen, answered, forgotten };

struct fate_reply {
    request_id id;
    request_fate fate = request_fate::never_seen;
    caller_response response; ///< for `answered`
};

struct cancel_request {
    request_id id;
};

/// `erased` is only sent to a standby: the request was refused after it had been recorded.
enum class key_phase : std::uint8_t { running, answered, unknown, erased };

/// State of one idempotency key.
struct remembered_key {
    std::string service;
    std::uint64_t hash = 0; ///< of the request's key; determines its range
    std::string idempotency_key;
    std::uint64_t fingerprint = 0;
    key_phase phase = key_phase::running;
    std::int64_t wall_ms = 0; ///< when it was first seen, for retention only
    caller_response response; ///< for `answered`
};

/// Replicates idempotency keys of `owner` to its standby, or to the next owner if `handover` is
/// set.
struct remember_request {
    std::uint64_t sequence = 0;
    target_number owner = no_target;
    target_number holder = no_target; ///< target whose node must store them
    bool replace_all = false;         ///< starts a full copy that replaces all keys held so far
    bool handover = false;
    std::vector<remembered_key> keys;
};

struct remember_reply {
    std::uint64_t sequence = 0;
    bool handover = false; ///< as in the request; the two kinds have separate sequences
    bool held = false;
};

/// Requests a standby's copy of a lost owner's idempotency keys in one range.
struct recall_request {
    std::uint64_t sequence = 0;
    target_number lost_owner = no_target;
    target_number holder = no_target;
    std::string service;
    std::uint64_t first = 0;
    std::uint64_t last = 0;
};

struct recall_reply {
    std::uint64_t sequence = 0;
    bool held = false;
    std::vector<remembered_key> keys;
};

using message =
    std::variant<vote_request, vote_reply, append_request, append_reply, snapshot_request,
                 renew_request, renew_reply, map_update, forward_request, forward_reply, fate_query,
                 fate_reply, cancel_request, remember_request, remember_reply, recall_request,
                 recall_reply, join_request>;

/// Message that a state machine asks its host to send.
struct outgoing {
    node_address to;
    message body;
    bool fresh_connection = false; ///< the open connection may be dead: use a new one
};

} // namespace peppertack
