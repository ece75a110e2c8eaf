#include "gateway/peers/Heartbeat.h"

#include "gateway/peers/ContactCodec.h"
#include "gateway/peers/QuarantineCodec.h"
#include "gateway/peers/RevisionCodec.h"
#include "gateway/quota/QuotaCodec.h"

#include "coordination/model/JsonReader.h"
#include "coordination/model/JsonText.h"
#include "coordination/placement/ReplicaFleet.h"

#include <nlohmann/json.hpp>

#include <cmath>

namespace carawaypond::gateway {

using nlohmann::json;

namespace {

constexpr double MaxCores = 10'000;
constexpr double MaxRate = 1e9; ///< Attempts per second.
/// Older slow answers mean nothing any more.
constexpr std::int64_t MaxSlowAgeMs = 60'000;
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

json encodeSlowAnswers(const std::vector<SlowAnswer> &Sent) {
  json List = json::array();
  for (const SlowAnswer &Each : Sent)
    List.push_back(json::array({Each.Replica.value(), Each.Age.count()}));
  return List;
}

/// @return The readable entries. Others are skipped, so that a report never
/// loses a heartbeat.
std::vector<SlowAnswer> decodeSlowAnswers(const json &Item) {
  std::vector<SlowAnswer> Read;
  auto List = Item.find("slow");
  if (List == Item.end() || !List->is_array())
    return Read;
  for (const json &Each : *List) {
    bool IsAnswer = Each.is_array() && Each.size() == 2 &&
                    Each[0].is_string() && Each[1].is_number_unsigned() &&
                    Each[1] <= MaxSlowAgeMs;
    if (IsAnswer && Read.size() < ReplicaFleet::MaxSlowAnswers)
      Read.push_back({.Replica = ServerName(Each[0].get<std::string>()),
                      .Age = Milliseconds(Each[1].get<std::int64_t>())});
  }
  return Read;
}

} // namespace

json encodeVm(const VmRecord &Vm) {
  json Item;
  Item["vm"] = Vm.Name.value();
  Item["life"] = Vm.IncarnationNumber.value();
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
  Vm.IncarnationNumber = Incarnation(Reader.integer("life", 0, UINT64_MAX));
  Vm.Centre = DataCentre(Reader.string("centre"));
  Vm.PeerAddress = Reader.string("peers");
  Vm.CallerAddress = Reader.string("callers");
  Vm.State = stateOf(Reader.string("state"));
  if (Reader.error())
    return std::nullopt;
  return Vm;
}

json encodeLoadedVm(const LoadedVm &Vm) {
  json Item = encodeVm(Vm.Record);
  Item["cores"] = Vm.Load.Capacity;
  Item["rate"] = std::llround(Vm.Load.AttemptRate);
  if (Vm.Load.IsDemandHigh)
    Item["demand_high"] = true;
  Item["reads"] = Vm.ReadsStore;
  if (Vm.Silence > Milliseconds(0))
    Item["silent_ms"] = Vm.Silence.count();
  return Item;
}

std::optional<LoadedVm> decodeLoadedVm(const json &Item) {
  auto Vm = decodeVm(Item);
  if (!Vm)
    return std::nullopt;
  JsonReader Reader(Item, "");
  LoadedVm Read{
      .Record = std::move(*Vm),
      .Load = {.Capacity = Reader.numberOr("cores", 0, MaxCores, 0),
               .AttemptRate = Reader.numberOr("rate", 0, MaxRate, 0),
               .IsDemandHigh = Reader.booleanOr("demand_high", false)},
      .ReadsStore = Reader.booleanOr("reads", false),
      .Silence = readAge(Reader, "silent_ms")};
  if (Reader.error())
    return std::nullopt;
  return Read;
}

std::string encodeHeartbeat(const Heartbeat &Sent) {
  json Item = encodeLoadedVm(Sent.Vm);
  Item["config"] = Sent.ConfigVersion;
  addRevision(Item, "replicas", Sent.ReplicaRevision);
  if (Sent.EvacuationRevision > StoreRevision(0))
    addRevision(Item, "evacuations", Sent.EvacuationRevision);
  if (Sent.Presumed > 0)
    Item["presumed"] = Sent.Presumed;
  addContact(Item, Sent.Contact);
  if (Sent.Allocator)
    Item["allocator"] = encodeAllocator(*Sent.Allocator);
  if (!Sent.SlowAnswers.empty())
    Item["slow"] = encodeSlowAnswers(Sent.SlowAnswers);
  addQuarantine(Item, Sent.Quarantine);
  return Item.dump();
}

std::optional<Heartbeat> decodeHeartbeat(std::string_view Text) {
  json Item = parseJsonText(Text);
  auto Vm = decodeLoadedVm(Item);
  if (!Vm)
    return std::nullopt;
  JsonReader Reader(Item, "");
  Heartbeat Read{.Vm = std::move(*Vm),
                 .ConfigVersion = Reader.integer("config", 0, UINT64_MAX),
                 .ReplicaRevision = readRevision(Reader, "replicas"),
                 .EvacuationRevision = {},
                 .Presumed = Reader.integerOr("presumed", 0, UINT32_MAX, 0),
                 .Contact = readContact(Reader),
                 .Allocator = {},
                 .SlowAnswers = decodeSlowAnswers(Item),
                 .Quarantine = readQuarantine(Item)};
  if (Reader.has("evacuations"))
    Read.EvacuationRevision = readRevision(Reader, "evacuations");
  if (Reader.has("allocator"))
    Read.Allocator = decodeAllocator(Item["allocator"]);
  if (Reader.error())
    return std::nullopt;
  return Read;
}

} // namespace carawaypond::gateway
