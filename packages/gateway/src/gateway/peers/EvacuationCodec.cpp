#include "gateway/peers/EvacuationCodec.h"

#include "gateway/peers/ContactCodec.h"
#include "gateway/peers/RevisionCodec.h"

#include <nlohmann/json.hpp>

namespace carawaypond::gateway {

using nlohmann::json;

namespace {

constexpr const char *ReportKey = "evacuations";
constexpr const char *CentresKey = "centres";

EvacuatedCentre decodeCentre(JsonReader &Parent, const json &Item) {
  JsonReader Reader(Item, Parent.pathOf(CentresKey));
  EvacuatedCentre Read{.Centre = DataCentre(Reader.string("centre")),
                       .Revision = readRevision(Reader, "rev")};
  Parent.adopt(Reader);
  return Read;
}

} // namespace

void addEvacuations(json &Body, const FleetState &State) {
  if (State.evacuationSequence() == 0)
    return;
  EvacuationList List = State.evacuations().list();
  json Report;
  addRevision(Report, "revision", List.AsOf);
  Report["sequence"] = State.evacuationSequence();
  Report["age_ms"] = State.evacuationAge().count();
  Report[CentresKey] = json::array();
  for (const EvacuatedCentre &Each : List.Centres) {
    json Item = {{"centre", Each.Centre.value()}};
    addRevision(Item, "rev", Each.Revision);
    Report[CentresKey].push_back(std::move(Item));
  }
  Body[ReportKey] = std::move(Report);
}

std::optional<EvacuationReport> readEvacuations(JsonReader &Reader) {
  if (!Reader.has(ReportKey))
    return std::nullopt;
  JsonReader Item(Reader.object(ReportKey), Reader.pathOf(ReportKey));
  EvacuationReport Read;
  Read.List.AsOf = readRevision(Item, "revision");
  Read.Sequence = Item.integer("sequence", 0, UINT64_MAX);
  Read.Age = readAge(Item, "age_ms");
  for (const json &Each : Item.array(CentresKey))
    Read.List.Centres.push_back(decodeCentre(Item, Each));
  Reader.adopt(Item);
  return Read;
}

} // namespace carawaypond::gateway
