#include "gateway/peers/PeerState.h"

#include "coordination/model/JsonText.h"
#include "gateway/peers/ContactCodec.h"
#include "gateway/peers/Heartbeat.h"
#include "gateway/peers/RevisionCodec.h"

namespace carawaypond::gateway {

using nlohmann::json;

namespace {

constexpr std::uint64_t MaxSlots = 1'000'000;
constexpr std::uint64_t MaxWarmupMs = 3'600'000;

KnownReplica decodeReplica(JsonReader &Reader) {
  KnownReplica Replica;
  ReplicaRecord &Record = Replica.Record;
  Record.Id = ServerName(Reader.string("id"));
  Record.Service = ServiceName(Reader.string("service"));
  Record.Address = Reader.string("address");
  Record.Centre = DataCentre(Reader.string("centre"));
  Record.Slots = static_cast<unsigned>(Reader.integer("slots", 1, MaxSlots));
  Record.State = Reader.booleanOr("leaving", false) ? ReplicaState::Leaving
                                                    : ReplicaState::Serving;
  Record.WarmupLeft = Milliseconds(
      static_cast<std::int64_t>(Reader.integer("warmup_ms", 0, MaxWarmupMs)));
  Record.StartedAt =
      static_cast<std::int64_t>(Reader.integer("started_ms", 0, INT64_MAX));
  Replica.Revision = readRevision(Reader, "rev");
  Replica.IsHeldLeaving = Reader.booleanOr("held", false);
  if (Reader.booleanOr("presumed", false))
    Replica.Evidence = ReplicaEvidence::Presumed;
  return Replica;
}

} // namespace

json encodeReplica(const KnownReplica &Replica) {
  const ReplicaRecord &Record = Replica.Record;
  json Item;
  Item["id"] = Record.Id.value();
  Item["service"] = Record.Service.value();
  Item["address"] = Record.Address;
  Item["centre"] = Record.Centre.value();
  Item["slots"] = Record.Slots;
  Item["leaving"] = Record.State == ReplicaState::Leaving;
  Item["warmup_ms"] = Record.WarmupLeft.count();
  Item["started_ms"] = Record.StartedAt;
  addRevision(Item, "rev", Replica.Revision);
  if (Replica.Evidence == ReplicaEvidence::Presumed)
    Item["presumed"] = true;
  if (Replica.IsHeldLeaving)
    Item["held"] = true;
  return Item;
}

std::vector<KnownReplica> decodeReplicas(JsonReader &Reader,
                                         std::string_view Key) {
  std::vector<KnownReplica> Replicas;
  for (const json &Each : Reader.array(Key)) {
    JsonReader Item(Each, Reader.pathOf(Key));
    Replicas.push_back(decodeReplica(Item));
    Reader.adopt(Item);
  }
  return Replicas;
}

std::string encodePeerState(const FleetState &State, const VmRecord &Self) {
  json Body;
  Body["config"] = State.configDocument();
  addRevision(Body, "replica_revision", State.replicaRevision());
  addProofAge(Body, State.configProofAge());
  addContact(Body, State.storeContact());
  addEvacuations(Body, State);
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
  State.Replicas.AsOf = readRevision(Reader, "replica_revision");
  State.Replicas.Replicas = decodeReplicas(Reader, "replicas");
  State.ProofAge = readProofAge(Reader);
  State.Contact = readContact(Reader);
  State.Evacuations = readEvacuations(Reader);
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
