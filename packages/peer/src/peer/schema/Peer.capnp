@0xb3d1f0a4c25e7796;
# Calls between daemons. Regenerate the C++ code with scripts/generate-schema.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("carawaypond::peer::wire");

struct Identity {
  vm @0 :Text;
  incarnation @1 :UInt64;
}

struct Subrequest {
  id @0 :UInt64;
  queryId @1 :UInt64;
  service @2 :Text;
  callerClass @3 :Text;
  shard @4 :UInt32;
  repeatable @5 :Bool;
  version @6 :UInt64;
  layout @7 :UInt64;
  deadlineMillis @8 :Int64;
  # Milliseconds since the Unix epoch.
  request @9 :UInt32;
  # Index into the batch's requests.
  server @10 :Text;
  # Empty when the owner chooses the replica.
}

struct Batch {
  requests @0 :List(Data);
  # Each distinct request text once; a query's subrequests share it.
  subrequests @1 :List(Subrequest);
}

enum Outcome {
  answered @0;
  notRun @1;
  inDoubt @2;
  versionGone @3;
}

struct VersionRange {
  layout @0 :UInt64;
  oldest @1 :UInt64;
  newest @2 :UInt64;
}

struct SubrequestResult {
  id @0 :UInt64;
  outcome @1 :Outcome;
  version @2 :UInt64;
  layout @3 :UInt64;
  payload @4 :Data;
  reason @5 :Text;
  ranges @6 :List(VersionRange);
  server @7 :Text;
  waitMicros @8 :UInt64;
  # How long a new subrequest of that service and class would wait here.
}

struct StoredObject {
  name @0 :Text;
  version @1 :UInt64;
  json @2 :Data;
}

enum VmState {
  live @0;
  suspect @1;
  leaving @2;
  gone @3;
}

struct VmRecord {
  identity @0 :Identity;
  centre @1 :Text;
  peerAddress @2 :Text;
  callerAddress @3 :Text;
  operatorAddress @4 :Text;
  state @5 :VmState;
  counter @6 :UInt64;
  ageMillis @7 :UInt64;
}

struct CentreHeard {
  centre @0 :Text;
  heard @1 :UInt32;
  ageMillis @2 :UInt64;
}

struct Held {
  name @0 :Text;
  version @1 :UInt64;
}

struct DrainSign {
  server @0 :Text;
  origin @1 :Text;
  sequence @2 :UInt64;
  ageMillis @3 :UInt64;
  leaving @4 :Bool;
}

struct ReplicaVersions {
  service @0 :Text;
  server @1 :Text;
  shard @2 :UInt32;
  ranges @3 :List(VersionRange);
}

struct Digest {
  sender @0 :VmRecord;
  vms @1 :List(VmRecord);
  centres @2 :List(CentreHeard);
  configs @3 :List(Held);
  configCount @4 :UInt64;
  configFingerprint @5 :UInt64;
  drains @6 :List(DrainSign);
  indexes @7 :List(Held);
  versions @8 :List(ReplicaVersions);
  storeReachable @9 :Bool;
  informed @10 :Bool;
  storeAgeMillis @11 :UInt64;
  serveMillis @12 :UInt64;
  awakeMillis @13 :UInt64;
}

struct TrafficMessage {
  # One frame on a traffic connection. The first message from the side that
  # connects is hello, the first from the other side welcome.
  union {
    hello @0 :Identity;
    welcome :group {
      accepted @1 :Bool;
      self @2 :Identity;
    }
    run :group {
      number @3 :UInt64;
      expected @4 :UInt64;
      # Refused unless it is the receiver's incarnation.
      batch @5 :Batch;
    }
    refused :group {
      # None of the subrequests of that run will run.
      number @6 :UInt64;
      reason @7 :Text;
    }
    results @8 :List(SubrequestResult);
    cancel @9 :List(UInt64);
  }
}

interface Peer {
  hello @0 (self :Identity) -> (accepted :Bool, self :Identity);
  # The first call on each connection.

  exchange @1 (digest :Digest) -> (digest :Digest);

  fetchServices @2 (names :List(Text)) -> (objects :List(StoredObject));
  fetchIndexes @3 (names :List(Text)) -> (objects :List(StoredObject));

  query @4 (expected :UInt64, ticket :Text, deadlineMillis :Int64, body :Data)
      -> (accepted :Bool, reason :Text, status :UInt16, body :Data);
}
