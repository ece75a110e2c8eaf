#include "coordination/node/ControlNode.h"

#include <doctest/doctest.h>

using namespace carawaypond;

namespace {

constexpr TimePoint Start{std::chrono::hours(1)};
const ServiceName Claims("claims");

ControlNode makeNode(const char *Name, std::uint64_t IncarnationNumber = 1) {
  ControlNodeOptions Options;
  Options.Members.Self.Name = VmName(Name);
  Options.Members.Self.IncarnationNumber = Incarnation(IncarnationNumber);
  Options.Members.Self.Centre = DataCentre("a");
  return ControlNode(Options);
}

StoredService makeStored() {
  StoredService Stored;
  Stored.Version = ConfigVersion(3);
  Stored.Content.Name = Claims;
  return Stored;
}

/// A node that has just read the store, which contains one service.
ControlNode makeServingNode() {
  ControlNode Node = makeNode("serving");
  ControlTick Wanted = Node.tick(0, Start);
  REQUIRE(Wanted.ServiceReads == std::vector<StoreReadAction>{ListObjects{}});
  Node.onServiceList(9, {makeStored()}, Start, Start);
  return Node;
}

} // namespace

TEST_CASE("a starting node gets the configuration and its lease from a peer") {
  ControlNode Serving = makeServingNode();
  ControlNode Starting = makeNode("starting");
  CHECK(!Starting.mayServe(Start));
  Digest Reply = Serving.makeDigest(true, Start);
  std::optional<ConfigFetch> Wanted = Starting.onReply(Reply, Start, Start);
  REQUIRE(Wanted);
  CHECK(!Starting.mayServe(Start));
  Starting.onFetched(*Wanted, Incarnation(1), {makeStored()}, Start);
  CHECK(Starting.configs().versionOf(Claims) == ConfigVersion(3));
  CHECK(Starting.mayServe(Start));
}

TEST_CASE("a fetch answered by a later incarnation does not extend the lease") {
  ControlNode Serving = makeServingNode();
  ControlNode Starting = makeNode("starting");
  Digest Reply = Serving.makeDigest(true, Start);
  std::optional<ConfigFetch> Wanted = Starting.onReply(Reply, Start, Start);
  REQUIRE(Wanted);
  Starting.onFetched(*Wanted, Incarnation(2), {}, Start);
  CHECK(!Starting.mayServe(Start));
}

TEST_CASE("a stopping node announces it and accepts no submissions") {
  ControlNode Node = makeServingNode();
  CHECK(Node.maySubmit(Start));
  Node.beginStop(Start);
  CHECK(Node.makeDigest(false, Start).Sender.State == VmState::Leaving);
  CHECK(Node.mayServe(Start));
  TimePoint Later = Start + std::chrono::seconds(8);
  ControlTick Wanted = Node.tick(0, Later);
  CHECK(Wanted.Stop.back() == VmDrainAction::Exit);
  CHECK(!Node.maySubmit(Later));
}
