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
}

struct StoredObject {
  name @0 :Text;
  version @1 :UInt64;
  json @2 :Data;
}

interface ResultSink {
  deliver @0 (results :List(SubrequestResult)) -> ();
}

interface Peer {
  hello @0 (self :Identity, sink :ResultSink) -> (accepted :Bool, self :Identity);
  # The first call on each connection. Results of run() go to the sink.

  exchange @1 (digest :Data) -> (digest :Data);

  fetchServices @2 (names :List(Text)) -> (objects :List(StoredObject));
  fetchIndexes @3 (names :List(Text)) -> (objects :List(StoredObject));

  run @4 (expected :UInt64, batch :Batch) -> (accepted :Bool, reason :Text);
  # Refused, and nothing of it runs, unless the receiver's incarnation is the
  # expected one.

  cancel @5 (ids :List(UInt64)) -> ();

  query @6 (expected :UInt64, ticket :Text, deadlineMillis :Int64, body :Data)
      -> (accepted :Bool, reason :Text, status :UInt16, body :Data);
}
