#include "gateway/peers/Beat.h"

#include "coordination/model/JsonReader.h"
#include "coordination/model/JsonText.h"

#include <nlohmann/json.hpp>

#include <cmath>

namespace carawaypond::gateway {

using nlohmann::json;

namespace {

constexpr double MaxCores = 10'000;
constexpr double MaxRate = 1e9; ///< Attempts a second.
constexpr std::string_view LiveName = "live";
constexpr std::string_view StartingName = "starting";
constexpr std::string_view LeavingName = "leaving";

std::string_view nameOf(VmState State) {
  if (State == VmState::Live)
    return LiveName;
  return State == VmState::Suspect ? StartingName : LeavingName;
}

VmState stateOf(std::string_view Name) {
  if (Name == LiveName)
    return VmState::Live;
  return Name == StartingName ? VmState::Suspect : VmState::Leaving;
}

} // namespace

json encodeVm(const VmRecord &Vm) {
  json Item;
  Item["vm"] = Vm.Name.value();
  Item["life"] = Vm.Life.value();
  Item["centre"] = Vm.Centre.value();
  Item["peers"] = Vm.PeerAddress;
  Item["callers"] = Vm.CallerAddress;
  Item["state"] = nameOf(Vm.State);
  return Item;
}

std::optional<VmRecord> decodeVm(const json &Item) {
  JsonReader Reader(Item, "");
  VmRecord Vm;
  Vm.Name = VmName(Reader.string("vm"));
  Vm.Life = Incarnation(Reader.integer("life", 0, UINT64_MAX));
  Vm.Centre = DataCentre(Reader.string("centre"));
  Vm.PeerAddress = Reader.string("peers");
  Vm.CallerAddress = Reader.string("callers");
  Vm.State = stateOf(Reader.string("state"));
  if (Reader.error())
    return std::nullopt;
  return Vm;
}

std::string encodeBeat(const Beat &Sent) {
  json Item = encodeVm(Sent.Vm.Record);
  Item["cores"] = Sent.Vm.Load.Capacity;
  Item["rate"] = std::llround(Sent.Vm.Load.AttemptRate);
  Item["reads"] = Sent.Vm.ReadsStore;
  Item["config"] = Sent.ConfigVersion;
  Item["replicas"] = Sent.ReplicaRevision;
  return Item.dump();
}

std::optional<Beat> decodeBeat(std::string_view Text) {
  json Item = parseJsonText(Text);
  auto Vm = decodeVm(Item);
  if (!Vm)
    return std::nullopt;
  JsonReader Reader(Item, "");
  VmLoad Load{.Capacity = Reader.numberOr("cores", 0, MaxCores, 0),
              .AttemptRate = Reader.numberOr("rate", 0, MaxRate, 0)};
  Beat Read{.Vm = {.Record = std::move(*Vm),
                   .Load = Load,
                   .ReadsStore = Reader.booleanOr("reads", false)},
            .ConfigVersion = Reader.integer("config", 0, UINT64_MAX),
            .ReplicaRevision = Reader.integer("replicas", 0, UINT64_MAX)};
  if (Reader.error())
    return std::nullopt;
  return Read;
}

} // namespace carawaypond::gateway
