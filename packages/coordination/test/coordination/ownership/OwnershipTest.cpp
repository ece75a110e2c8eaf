#include "coordination/ownership/Ownership.h"
#include "coordination/ownership/RouteTable.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <numeric>
#include <set>

using namespace carawaypond;

namespace {

std::vector<VmName> makeVms(std::size_t Count) {
  std::vector<VmName> Vms;
  for (std::size_t I = 0; I < Count; ++I)
    Vms.emplace_back("vm-" + std::to_string(I));
  return Vms;
}

OwnershipKey keyOf(std::uint32_t Shard) {
  return {.Service = ServiceName("claims"),
          .Shard = ShardId(Shard),
          .Replica = std::nullopt};
}

} // namespace

TEST_CASE("the order of owners does not depend on the order of the VMs") {
  CHECK(rc::check([](std::uint32_t Shard, std::uint32_t Rotation) {
    std::vector<VmName> Vms = makeVms(8);
    OwnerOrder Before = ownersOf(keyOf(Shard), Vms, 3);
    std::rotate(Vms.begin(), Vms.begin() + Rotation % 8, Vms.end());
    RC_ASSERT(ownersOf(keyOf(Shard), Vms, 3) == Before);
  }));
}

TEST_CASE("a VM that leaves moves only the shards that it owned") {
  CHECK(rc::check([](std::uint32_t Shard, std::uint32_t Gone) {
    std::vector<VmName> Vms = makeVms(8);
    OwnerOrder Before = ownersOf(keyOf(Shard), Vms, 8);
    VmName Left = Vms[Gone % 8];
    std::erase(Vms, Left);
    std::erase(Before, Left);
    RC_ASSERT(ownersOf(keyOf(Shard), Vms, 8) == Before);
  }));
}

TEST_CASE("shards spread evenly over eight VMs") {
  constexpr std::uint32_t Shards = 8000;
  std::vector<VmName> Vms = makeVms(8);
  std::map<VmName, std::uint32_t> Owned;
  for (std::uint32_t Shard = 0; Shard < Shards; ++Shard)
    ++Owned[ownersOf(keyOf(Shard), Vms, 1).front()];
  for (const auto &[Vm, Count] : Owned) {
    CHECK(Count > 850);
    CHECK(Count < 1150);
  }
}

TEST_CASE("all VMs together stay within a server's connections, also when each "
          "knows a different set of VMs that includes all that connect") {
  CHECK(rc::check([](std::uint8_t VmCount, std::uint8_t Limit) {
    std::vector<VmName> Connecting = makeVms(1 + VmCount % 40);
    std::uint32_t Sum = 0;
    for (const VmName &Self : Connecting) {
      std::vector<VmName> Known = Connecting;
      auto Extra = *rc::gen::inRange<std::size_t>(0, 10);
      for (std::size_t I = 0; I < Extra; ++I)
        Known.emplace_back("replaced-" + std::to_string(I));
      Sum += connectionCap(ServerName("s-1"), Limit, Self, Known);
    }
    RC_ASSERT(Sum <= Limit);
  }));
}

TEST_CASE("eight live VMs and one being replaced get two of 25 connections") {
  std::vector<VmName> Vms = makeVms(9);
  CHECK(connectionCap(ServerName("s-1"), 25, Vms[0], Vms) == 2);
}

TEST_CASE("routes follow the unit of ownership") {
  ShardReplicas Shard{.Shard = ShardId(1),
                      .Replicas = {ServerName("s-1"), ServerName("s-2")}};
  RouteTableOptions Options{.Unit = OwnerOfShard{},
                            .Self = VmName("vm-3"),
                            .LiveVms = makeVms(8),
                            .Fallbacks = 2};
  ServiceName Service("claims");

  CHECK(RouteTable(Options).routesFor(Service, Shard).size() == 3);

  Options.Unit = OwnerOfReplica{};
  std::vector<Route> Routes = RouteTable(Options).routesFor(Service, Shard);
  REQUIRE(Routes.size() == 6);
  CHECK(Routes[0].Replica == ServerName("s-1"));
  CHECK(Routes[1].Replica == ServerName("s-2"));

  Options.Unit = DirectSending{};
  Routes = RouteTable(Options).routesFor(Service, Shard);
  REQUIRE(Routes.size() == 1);
  CHECK(Routes[0].Vm == Options.Self);
}
