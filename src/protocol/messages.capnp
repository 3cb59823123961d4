@0xb0a7c3d1e5f29641;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("peppertack::wire");

struct Header { name @0 :Text; value @1 :Text; }
struct RequestId { incarnation @0 :UInt64; sequence @1 :UInt64; }
struct LogEntry { index @0 :UInt64; term @1 :UInt64; kind @2 :UInt8; payload @3 :Data; }

struct Target {
  number @0 :UInt32; name @1 :Text; service @2 :Text; failureDomain @3 :Text;
  address @4 :Text; incarnation @5 :UInt64; slots @6 :UInt32; connections @7 :UInt32;
  checksTokens @8 :Bool; phase @9 :UInt8; standby @10 :UInt32; standbyReady @11 :Bool;
  standbyEpoch @12 :UInt64;
}
struct Range {
  first @0 :UInt64; owner @1 :UInt32; token @2 :UInt64; next @3 :UInt32; memory @4 :UInt8;
  recoverFrom @5 :UInt32; recoverOf @6 :UInt32; lostAtMs @7 :Int64; handover @8 :Text;
}
struct RangeReport {
  service @0 :Text; first @1 :UInt64; token @2 :UInt64; to @3 :UInt32; handover @4 :Text;
}
struct RangeLoad { first @0 :UInt64; requests @1 :UInt32; cuts @2 :List(UInt64); }
struct ServiceRanges {
  service @0 :Text; whole @1 :Bool; ranges @2 :List(Range); removed @3 :List(UInt64);
}
struct MapUpdate {
  from @0 :UInt64; to @1 :UInt64; targets @2 :List(Target); services @3 :List(ServiceRanges);
  asOf @4 :UInt64;
}
struct CallerRequest {
  service @0 :Text; key @1 :Data; method @2 :Text; path @3 :Text; headers @4 :List(Header);
  body @5 :Data; repeatable @6 :Bool; idempotencyKey @7 :Data; timeLeftUs @8 :Int64;
}
struct CallerResponse {
  result @0 :UInt8; error @1 :UInt8; status @2 :UInt16; headers @3 :List(Header); body @4 :Data;
  owner @5 :Text; ownerAddress @6 :Text; token @7 :UInt64; retryAfterUs @8 :Int64;
}
struct RememberedKey {
  service @0 :Text; hash @1 :UInt64; idempotencyKey @2 :Data; fingerprint @3 :UInt64;
  phase @4 :UInt8; wallMs @5 :Int64; response @6 :CallerResponse;
}

struct Hello { version @0 :UInt16; address @1 :Text; secret @2 :Text; to @3 :Text; }
struct JoinRequest { identity @0 :Text; leaving @1 :Bool; }
struct VoteRequest { term @0 :UInt64; lastIndex @1 :UInt64; lastTerm @2 :UInt64; preVote @3 :Bool; }
struct VoteReply { term @0 :UInt64; preVote @1 :Bool; granted @2 :Bool; }
struct AppendRequest {
  term @0 :UInt64; previousIndex @1 :UInt64; previousTerm @2 :UInt64; commitIndex @3 :UInt64;
  round @4 :UInt64; entries @5 :List(LogEntry);
}
struct AppendReply { term @0 :UInt64; accepted @1 :Bool; matchIndex @2 :UInt64; round @3 :UInt64; }
struct SnapshotRequest {
  term @0 :UInt64; round @1 :UInt64; index @2 :UInt64; snapshotTerm @3 :UInt64; members @4 :Data;
  state @5 :Data;
}
struct CrashReport { target @0 :Text; life @1 :UInt64; running @2 :List(UInt64); }
struct SuspectRequest { fingerprint @0 :UInt64; quarantined @1 :Bool; }
struct RenewRequest {
  sequence @0 :UInt64; mapVersion @1 :UInt64; tableVersion @2 :UInt64; target @3 :Target;
  hasTarget @4 :Bool; draining @5 :Bool; givingUp @6 :Bool; released @7 :List(RangeReport);
  restored @8 :List(RangeReport); syncedStandby @9 :UInt32; unsyncedStandby @10 :UInt32;
  standbyEpoch @11 :UInt64; loads @12 :List(RangeLoad); hotKeys @13 :List(RangeLoad);
  routesVersion @14 :UInt64; capacity @15 :UInt32; wantsRelay @16 :Bool; origin @17 :Text;
  suspectsVersion @18 :UInt64; crashes @19 :List(CrashReport); acquitted @20 :List(UInt64);
  evacuationsVersion @21 :UInt64; readsEncodedMaps @22 :Bool;
}
struct RenewReply {
  sequence @0 :UInt64; isLeader @1 :Bool; leaderHint @2 :Text; number @3 :UInt32;
  registrationLost @4 :Bool; leaseUs @5 :Int64; tableVersion @6 :UInt64; tableCsv @7 :Data;
  map @8 :MapUpdate; voters @9 :List(Text); routesVersion @10 :UInt64; routes @11 :Data;
  origin @12 :Text; suspectsVersion @13 :UInt64; suspects @14 :List(SuspectRequest);
  crashesRecorded @15 :List(UInt64); evacuationsVersion @16 :UInt64; evacuated @17 :List(Text);
  encodedMap @18 :Data;
}
struct ForwardRequest { id @0 :RequestId; owner @1 :UInt32; request @2 :CallerRequest; }
struct ForwardReply { id @0 :RequestId; response @1 :CallerResponse; }
struct FateQuery { id @0 :RequestId; owner @1 :UInt32; ageUs @2 :Int64; }
struct FateReply { id @0 :RequestId; fate @1 :UInt8; response @2 :CallerResponse; }
struct CancelRequest { id @0 :RequestId; }
struct RememberRequest {
  sequence @0 :UInt64; owner @1 :UInt32; holder @2 :UInt32; replaceAll @3 :Bool; handover @4 :Bool;
  keys @5 :List(RememberedKey);
}
struct RememberReply { sequence @0 :UInt64; held @1 :Bool; handover @2 :Bool; }
struct RecallRequest {
  sequence @0 :UInt64; lostOwner @1 :UInt32; holder @2 :UInt32; service @3 :Text; first @4 :UInt64;
  last @5 :UInt64;
}
struct RecallReply { sequence @0 :UInt64; held @1 :Bool; keys @2 :List(RememberedKey); }

struct Message {
  union {
    voteRequest @0 :VoteRequest;
    voteReply @1 :VoteReply;
    appendRequest @2 :AppendRequest;
    appendReply @3 :AppendReply;
    snapshotRequest @4 :SnapshotRequest;
    renewRequest @5 :RenewRequest;
    renewReply @6 :RenewReply;
    mapUpdate @7 :MapUpdate;
    forwardRequest @8 :ForwardRequest;
    forwardReply @9 :ForwardReply;
    fateQuery @10 :FateQuery;
    fateReply @11 :FateReply;
    cancelRequest @12 :CancelRequest;
    rememberRequest @13 :RememberRequest;
    rememberReply @14 :RememberReply;
    recallRequest @15 :RecallRequest;
    recallReply @16 :RecallReply;
    hello @17 :Hello;
    joinRequest @18 :JoinRequest;
  }
}
