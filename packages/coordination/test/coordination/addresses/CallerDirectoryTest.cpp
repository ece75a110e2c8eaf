#include "coordination/addresses/CallerDirectory.h"
#include "coordination/addresses/ShardCentres.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace carawaypond;

namespace {

LoadedVm makeVm(const std::string &Name, const std::string &Centre,
                double Capacity, double Rate = 0) {
  LoadedVm Vm;
  Vm.Record.Name = VmName(Name);
  Vm.Record.Centre = DataCentre(Centre);
  Vm.Record.CallerAddress = Name;
  Vm.Load = {.Capacity = Capacity, .AttemptRate = Rate};
  return Vm;
}

/// @brief A large fleet: in each data centre two VMs with high and many with
/// low capacity.
std::vector<LoadedVm> makeFleet(double RateOfStrong) {
  std::vector<LoadedVm> Fleet;
  for (const char *Centre : {"a", "b", "c"}) {
    for (int I = 0; I < 12; ++I)
      Fleet.push_back(makeVm(Centre + std::to_string(I), Centre, 0.12));
    for (const char *Which : {"x", "y"})
      Fleet.push_back(
          makeVm(std::string(Centre) + Which, Centre, 0.5, RateOfStrong));
  }
  return Fleet;
}

} // namespace

TEST_CASE(
    "a light load goes to the highest-capacity VMs of the caller's centre") {
  CallerDirectory Directory({});
  CallerQuestion Question{.Centre = DataCentre("b"),
                          .CheapCentres = {DataCentre("a"), DataCentre("b")}};
  auto Named = Directory.answer(Question, makeFleet(10));
  std::sort(Named.begin(), Named.end());
  CHECK(Named == std::vector<std::string>{"bx", "by"});
}

TEST_CASE(
    "a caller in another data centre gets VMs in the replicas' data centres") {
  CallerDirectory Directory({});
  CallerQuestion Question{.Centre = DataCentre("c"),
                          .CheapCentres = {DataCentre("a"), DataCentre("b")}};
  for (const std::string &Each : Directory.answer(Question, makeFleet(10)))
    CHECK(Each.front() != 'c');
}

TEST_CASE("an answer has as many VMs as the load needs") {
  CallerDirectory Directory(
      {.AttemptsPerCore = 8'000, .TargetUtilisation = 0.3});
  // At this utilisation 7,200 attempts per second need 3 cores, 1 in each data
  // centre.
  auto Light = Directory.answer({}, makeFleet(1'200));
  double Capacity = 0;
  for (const std::string &Each : Light)
    Capacity +=
        Each.size() == 2 && (Each[1] == 'x' || Each[1] == 'y') ? 0.5 : 0.12;
  CHECK(Capacity >= 1);
  CHECK(Directory.answer({}, makeFleet(12'000)).size() > Light.size());
}

TEST_CASE("queries cost least in the data centres that hold the replicas") {
  RequestRoute Query;
  Query.Host = "h";
  Query.Prefix = "/";
  Query.Target =
      ShardSetTarget{.Shards = {ServiceName("s1"), ServiceName("s2")},
                     .TopRecords = 5,
                     .LeastShare = 0.5};
  RoutingTable Table(ConfigVersion(1), {Query}, {}, {});
  ReplicaRegistry::Entries Replicas;
  int Number = 0;
  for (const char *Service : {"s1", "s2", "other"})
    for (const char *Centre : {"a", "b"}) {
      ReplicaRecord Record;
      Record.Id = ServerName(std::to_string(Number++));
      Record.Service = ServiceName(Service);
      Record.Centre =
          DataCentre(Service == std::string("other") ? "c" : Centre);
      Replicas.emplace(Record.Id, KnownReplica{.Record = Record});
    }
  CHECK(shardCentres("h", Table, Replicas) ==
        std::set<DataCentre>{DataCentre("a"), DataCentre("b")});
  CHECK(shardCentres("unknown", Table, Replicas).empty());
}
