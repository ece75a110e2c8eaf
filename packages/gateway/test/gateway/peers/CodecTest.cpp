#include "gateway/peers/Changes.h"
#include "gateway/peers/Heartbeat.h"
#include "gateway/peers/PeerState.h"

#include <doctest/doctest.h>

using namespace carawaypond;
using namespace carawaypond::gateway;

namespace {

LoadedVm makeVm() {
  LoadedVm Vm;
  Vm.Record = {.Name = VmName("vm1"),
               .IncarnationNumber = Incarnation(77),
               .Centre = DataCentre("umea-a"),
               .PeerAddress = "10.0.0.1:1",
               .CallerAddress = "10.0.0.1:2",
               .OperatorAddress = {}};
  Vm.Load = {.Capacity = 0.25, .AttemptRate = 120};
  Vm.ReadsStore = true;
  return Vm;
}

ReplicaRecord makeReplica(const char *Id) {
  ReplicaRecord Replica;
  Replica.Id = ServerName(Id);
  Replica.Service = ServiceName("s");
  Replica.Address = "10.0.0.2:80";
  Replica.Centre = DataCentre("umea-b");
  Replica.Slots = 2;
  Replica.StartedAt = 5;
  return Replica;
}

} // namespace

TEST_CASE("a heartbeat round-trips; other input is rejected") {
  Heartbeat Sent{.Vm = makeVm(), .ConfigVersion = 3, .ReplicaRevision = 9};
  auto Read = decodeHeartbeat(encodeHeartbeat(Sent));
  REQUIRE(Read);
  CHECK(Read->Vm.Record == Sent.Vm.Record);
  CHECK(Read->Vm.Load == Sent.Vm.Load);
  CHECK(Read->Vm.ReadsStore);
  CHECK(Read->ReplicaRevision == 9);
  std::string Text = encodeHeartbeat(Sent);
  for (std::size_t Size = 0; Size < Text.size(); ++Size)
    CHECK_FALSE(decodeHeartbeat(std::string_view(Text).substr(0, Size)));
  CHECK_FALSE(decodeHeartbeat("[]"));
}

TEST_CASE("changes hold the full list at first, then only the differences") {
  EventLog Log({});
  FleetState State(
      VmName("vm1"), ReplicaRegistryOptions{}, Log, [] { return VmLoad{}; },
      [](const std::shared_ptr<const TrafficView> &) {});
  // A removal is applied at once only after the store has answered for a while.
  for (int Ago = 4'000; Ago >= 0; Ago -= 1'000)
    State.onStoreAnswered(monotonicNow() - Milliseconds(Ago));
  State.replaceReplicas({makeReplica("a"), makeReplica("b")}, 10, StoreSource);
  State.publish();
  ChangesRequest Asked;
  auto Whole =
      decodeChanges(encodeChanges(Asked, State, Incarnation(1), makeVm()));
  REQUIRE(Whole);
  CHECK(Whole->IsWhole);
  CHECK(Whole->Put.size() == 2);
  CHECK(Whole->ReplicaRevision == 10);

  Asked.Sequence = Whole->Sequence;
  CHECK_FALSE(hasChanges(Asked, State));
  State.removeReplica(ServerName("a"));
  State.publish();
  CHECK(hasChanges(Asked, State));
  auto News =
      decodeChanges(encodeChanges(Asked, State, Incarnation(1), makeVm()));
  REQUIRE(News);
  CHECK_FALSE(News->IsWhole);
  CHECK(News->Put.empty());
  REQUIRE(News->Gone.size() == 1);
  CHECK(News->Gone.front() == ServerName("a"));
}

TEST_CASE("a request for changes round-trips") {
  ChangesRequest Asked{.IncarnationNumber = Incarnation(4),
                       .Sequence = 5,
                       .ConfigVersion = 6,
                       .Wait = Milliseconds(700)};
  ChangesRequest Read = decodeChangesRequest(encodeChangesRequest(Asked));
  CHECK(Read.IncarnationNumber == Asked.IncarnationNumber);
  CHECK(Read.Sequence == 5);
  CHECK(Read.ConfigVersion == 6);
  CHECK(Read.Wait == Milliseconds(700));
}

TEST_CASE("state that is malformed in any part is rejected") {
  CHECK_FALSE(decodePeerState("{"));
  CHECK_FALSE(
      decodePeerState(R"({"replica_revision":1,"replicas":[{}],"vms":[]})"));
  CHECK_FALSE(decodeChanges(R"({"life":1})"));
}
