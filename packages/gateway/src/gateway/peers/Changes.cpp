#include "gateway/peers/Changes.h"

#include "coordination/model/JsonReader.h"
#include "coordination/model/JsonText.h"
#include "gateway/peers/ContactCodec.h"
#include "gateway/peers/Heartbeat.h"
#include "gateway/peers/PeerState.h"
#include "gateway/peers/RevisionCodec.h"

#include <charconv>

namespace carawaypond::gateway {

using nlohmann::json;

namespace {

constexpr std::uint64_t MaxWaitMillis = 60'000;

std::uint64_t numberOf(const http::Request &Asked, std::string_view Name) {
  std::string Text = Asked.queryParameter(Name).value_or("");
  std::uint64_t Value = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  return Value;
}

json encodeReplicas(const ReplicaRegistry::Entries &Replicas) {
  json Items = json::array();
  for (const auto &[Id, Each] : Replicas)
    Items.push_back(encodeReplica(Each));
  return Items;
}

void addChanges(json &Body,
                const std::vector<ReplicaChanges::Change> &Changes) {
  Body["put"] = json::array();
  Body["gone"] = json::array();
  for (const ReplicaChanges::Change &Each : Changes) {
    if (Each.Replica) {
      Body["put"].push_back(encodeReplica(*Each.Replica));
      continue;
    }
    json Gone = {{"id", Each.Id.value()}};
    addRevision(Gone, "rev", Each.RemovedAsOf);
    Body["gone"].push_back(std::move(Gone));
  }
}

RemovedReplica decodeRemoved(JsonReader &Parent, const json &Item) {
  JsonReader Reader(Item, Parent.pathOf("gone"));
  RemovedReplica Removed{.Id = ServerName(Reader.string("id")),
                         .Revision = readRevision(Reader, "rev")};
  Parent.adopt(Reader);
  return Removed;
}

ReplicaDelta decodeDelta(JsonReader &Reader, StoreRevision AsOf) {
  ReplicaDelta Delta{.Base = {}, .AsOf = AsOf, .Put = {}, .Removed = {}};
  Delta.Put = decodeReplicas(Reader, "put");
  for (const json &Each : Reader.array("gone"))
    Delta.Removed.push_back(decodeRemoved(Reader, Each));
  return Delta;
}

} // namespace

http::Request encodeChangesRequest(const ChangesRequest &Asked) {
  http::Request Request;
  Request.Path = ChangesPath;
  Request.Query = "life=" + std::to_string(Asked.IncarnationNumber.value()) +
                  "&since=" + std::to_string(Asked.Sequence) +
                  "&config=" + std::to_string(Asked.ConfigVersion) +
                  "&wait_ms=" + std::to_string(Asked.Wait.count());
  if (Asked.EvacuationSequence)
    Request.Query +=
        "&evacuations=" + std::to_string(*Asked.EvacuationSequence);
  return Request;
}

ChangesRequest decodeChangesRequest(const http::Request &Asked) {
  std::uint64_t Wait = std::min(numberOf(Asked, "wait_ms"), MaxWaitMillis);
  return {.IncarnationNumber = Incarnation(numberOf(Asked, "life")),
          .Sequence = numberOf(Asked, "since"),
          .ConfigVersion = numberOf(Asked, "config"),
          .EvacuationSequence =
              Asked.queryParameter("evacuations")
                  ? std::optional(numberOf(Asked, "evacuations"))
                  : std::nullopt,
          .Wait = Milliseconds(static_cast<std::int64_t>(Wait))};
}

bool hasChanges(const ChangesRequest &Asked, const FleetState &State) {
  bool HasEvacuations = Asked.EvacuationSequence &&
                        State.evacuationSequence() != *Asked.EvacuationSequence;
  return HasEvacuations || State.configVersion() > Asked.ConfigVersion ||
         State.replicaChanges().sequence() != Asked.Sequence;
}

std::string encodeChanges(const ChangesRequest &Asked, const FleetState &State,
                          Incarnation IncarnationNumber, const LoadedVm &Self,
                          Milliseconds Waited) {
  json Body;
  Body["life"] = IncarnationNumber.value();
  Body["sequence"] = State.replicaChanges().sequence();
  addRevision(Body, "revision", State.replicaRevision());
  Body["reads"] = Self.ReadsStore;
  Body["has_replicas"] = State.hasReplicas();
  Body["replica_age_ms"] = State.replicaAge().count();
  Body["config_age_ms"] = State.configAge().count();
  auto ProofAge = State.configProofAge();
  addProofAge(Body, ProofAge);
  if (ProofAge)
    Body["waited_ms"] = Waited.count();
  addContact(Body, State.storeContact());
  addEvacuations(Body, State);
  if (State.configVersion() > Asked.ConfigVersion)
    Body["config"] = State.configDocument();
  auto Changes = Asked.Sequence == 0
                     ? std::nullopt
                     : State.replicaChanges().since(Asked.Sequence);
  Body["whole"] = !Changes.has_value();
  if (Changes)
    addChanges(Body, *Changes);
  else
    Body["put"] = encodeReplicas(State.replicas().entries());
  Body["vms"] = json::array();
  for (const LoadedVm &Each :
       State.vms().far(Self.Record.Centre, monotonicNow()))
    Body["vms"].push_back(encodeLoadedVm(Each));
  return Body.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<ChangesResponse> decodeChanges(std::string_view Text) {
  json Body = parseJsonText(Text);
  JsonReader Reader(Body, "");
  ChangesResponse Read;
  Read.IncarnationNumber = Incarnation(Reader.integer("life", 0, UINT64_MAX));
  Read.Sequence = Reader.integer("sequence", 0, UINT64_MAX);
  Read.ReadsStore = Reader.booleanOr("reads", false);
  Read.HasReplicas = Reader.booleanOr("has_replicas", false);
  Read.ReplicaAge = readAge(Reader, "replica_age_ms");
  Read.ConfigAge = readAge(Reader, "config_age_ms");
  Read.ProofAge = readProofAge(Reader);
  Read.Waited = readAge(Reader, "waited_ms");
  Read.Contact = readContact(Reader);
  Read.Evacuations = readEvacuations(Reader);
  StoreRevision AsOf = readRevision(Reader, "revision");
  if (Reader.booleanOr("whole", false))
    Read.Replicas =
        ReplicaList{.AsOf = AsOf, .Replicas = decodeReplicas(Reader, "put")};
  else
    Read.Replicas = decodeDelta(Reader, AsOf);
  for (const json &Each : Reader.array("vms")) {
    auto Vm = decodeLoadedVm(Each);
    if (!Vm)
      return std::nullopt;
    Read.RemoteVms.push_back(std::move(*Vm));
  }
  if (Reader.error())
    return std::nullopt;
  if (Reader.has("config"))
    Read.Config = std::move(Body["config"]);
  return Read;
}

} // namespace carawaypond::gateway
