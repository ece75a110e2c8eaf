#include "gateway/peers/PeerState.h"

#include "coordination/model/JsonReader.h"
#include "coordination/model/JsonText.h"
#include "gateway/peers/Heartbeat.h"

namespace carawaypond::gateway {

using nlohmann::json;

namespace {

constexpr std::uint64_t MaxSlots = 1'000'000;
constexpr std::uint64_t MaxWarmupMs = 3'600'000;

} // namespace

json encodeReplica(const ReplicaRecord &Replica) {
  json Item;
  Item["id"] = Replica.Id.value();
  Item["service"] = Replica.Service.value();
  Item["address"] = Replica.Address;
  Item["centre"] = Replica.Centre.value();
  Item["slots"] = Replica.Slots;
  Item["leaving"] = Replica.State == ReplicaState::Leaving;
  Item["warmup_ms"] = Replica.WarmupLeft.count();
  Item["started_ms"] = Replica.StartedAt;
  return Item;
}

std::optional<ReplicaRecord> decodeReplica(const json &Item) {
  JsonReader Reader(Item, "");
  ReplicaRecord Replica;
  Replica.Id = ServerName(Reader.string("id"));
  Replica.Service = ServiceName(Reader.string("service"));
  Replica.Address = Reader.string("address");
  Replica.Centre = DataCentre(Reader.string("centre"));
  Replica.Slots = static_cast<unsigned>(Reader.integer("slots", 1, MaxSlots));
  Replica.State = Reader.booleanOr("leaving", false) ? ReplicaState::Leaving
                                                     : ReplicaState::Serving;
  Replica.WarmupLeft = Milliseconds(
      static_cast<std::int64_t>(Reader.integer("warmup_ms", 0, MaxWarmupMs)));
  Replica.StartedAt =
      static_cast<std::int64_t>(Reader.integer("started_ms", 0, INT64_MAX));
  if (Reader.error())
    return std::nullopt;
  return Replica;
}

std::string encodePeerState(const FleetState &State, const VmRecord &Self) {
  json Body;
  Body["config"] = State.configDocument();
  Body["replica_revision"] = State.replicaRevision();
  Body["replicas"] = json::array();
  for (const auto &[Id, Each] : State.replicas().entries())
    Body["replicas"].push_back(encodeReplica(Each));
  Body["vms"] = json::array();
  Body["vms"].push_back(encodeVm(Self));
  for (const VmRecord &Each : State.vms().known())
    Body["vms"].push_back(encodeVm(Each));
  return Body.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<PeerState> decodePeerState(std::string_view Text) {
  json Body = parseJsonText(Text);
  JsonReader Reader(Body, "");
  PeerState State;
  State.ReplicaRevision = Reader.integer("replica_revision", 0, UINT64_MAX);
  for (const json &Each : Reader.array("replicas")) {
    auto Replica = decodeReplica(Each);
    if (!Replica)
      return std::nullopt;
    State.Replicas.push_back(std::move(*Replica));
  }
  for (const json &Each : Reader.array("vms")) {
    auto Vm = decodeVm(Each);
    if (!Vm)
      return std::nullopt;
    State.Vms.push_back(std::move(*Vm));
  }
  if (Reader.error())
    return std::nullopt;
  if (Reader.has("config"))
    State.Config = std::move(Body["config"]);
  return State;
}

} // namespace carawaypond::gateway
