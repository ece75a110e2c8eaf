#include "backends/deployment/Deployment.h"

#include "coordination/model/JsonReader.h"

#include <nlohmann/json.hpp>

#include <optional>

namespace carawaypond::standins {

namespace {

constexpr std::uint64_t MaxCount = 10'000;
constexpr std::uint64_t MaxMillis = 600'000;
constexpr std::uint64_t MaxMicros = MaxMillis * 1000;
constexpr std::uint64_t MaxVersion = 1'000'000'000;
constexpr double MaxFactor = 10'000;

std::uint32_t readCount(JsonReader &Reader, const char *Key,
                        std::uint64_t Default, std::uint64_t Min = 1) {
  return static_cast<std::uint32_t>(
      Reader.integerOr(Key, Min, MaxCount, Default));
}

std::optional<RecordKind> toRecordKind(const std::string &Name) {
  if (Name == "claims")
    return RecordKind::Claims;
  if (Name == "invoices")
    return RecordKind::Invoices;
  if (Name == "delivery_notes")
    return RecordKind::DeliveryNotes;
  if (Name == "purchase_orders")
    return RecordKind::PurchaseOrders;
  return std::nullopt;
}

RecordKind readRecordKind(JsonReader &Reader) {
  std::optional<RecordKind> Kind = toRecordKind(Reader.string("records"));
  if (!Kind)
    Reader.fail("records", "must be claims, invoices, delivery_notes or "
                           "purchase_orders");
  return Kind.value_or(RecordKind::Claims);
}

ServiceTimeOptions readServiceTime(JsonReader &Parent) {
  if (!Parent.has("service_time"))
    return {};
  JsonReader Reader(Parent.object("service_time"),
                    Parent.pathOf("service_time"));
  Reader.allowOnly({"median_us", "sigma", "tail_ratio", "tail_factor",
                    "cold_start_ms", "cold_factor"});
  ServiceTimeOptions Options{
      .Median = Microseconds(Reader.integerOr("median_us", 0, MaxMicros, 1000)),
      .Sigma = Reader.numberOr("sigma", 0, 3, 0.3),
      .TailRatio = Reader.numberOr("tail_ratio", 0, 1, 0),
      .TailFactor = Reader.numberOr("tail_factor", 1, MaxFactor, 1),
      .ColdStart =
          Milliseconds(Reader.integerOr("cold_start_ms", 0, MaxMillis, 0)),
      .ColdFactor = Reader.numberOr("cold_factor", 1, MaxFactor, 1)};
  Parent.adopt(Reader);
  return Options;
}

ServiceShape readShape(JsonReader &Reader) {
  Reader.allowOnly({"name", "services", "records", "shards", "replicas",
                    "shards_per_server", "slots", "connections",
                    "connection_cost_us", "queue", "service_time"});
  return {.Name = Reader.string("name"),
          .Services = readCount(Reader, "services", 0),
          .Records = readRecordKind(Reader),
          .Shards = readCount(Reader, "shards", 1),
          .Replicas = readCount(Reader, "replicas", 1),
          .ShardsPerServer = readCount(Reader, "shards_per_server", 1),
          .Slots = readCount(Reader, "slots", 1),
          .Connections = readCount(Reader, "connections", 1),
          .QueueLimit = readCount(Reader, "queue", 0, 0),
          .ConnectionCost = Microseconds(
              Reader.integerOr("connection_cost_us", 0, MaxMicros, 0)),
          .ServiceTime = readServiceTime(Reader)};
}

VersionOptions readVersions(JsonReader &Parent) {
  if (!Parent.has("versions"))
    return {};
  JsonReader Reader(Parent.object("versions"), Parent.pathOf("versions"));
  Reader.allowOnly({"first", "kept", "max_lag", "every_ms"});
  VersionOptions Options{
      .First = Reader.integerOr("first", 1, MaxVersion, 1),
      .Kept = Reader.integerOr("kept", 1, MaxCount, 4),
      .MaxLag = Reader.integerOr("max_lag", 0, MaxCount, 1),
      .Every = Milliseconds(Reader.integerOr("every_ms", 0, MaxMillis, 0))};
  Parent.adopt(Reader);
  return Options;
}

} // namespace

Result<Deployment> parseDeployment(const nlohmann::json &File) {
  JsonReader Reader(File, "");
  Reader.allowOnly({"name", "data_centres", "versions", "shapes"});
  Deployment Parsed;
  for (const nlohmann::json &Centre : Reader.array("data_centres"))
    if (Centre.is_string())
      Parsed.DataCentres.emplace_back(Centre.get<std::string>());
  if (Parsed.DataCentres.empty())
    Reader.fail("data_centres", "must name at least one data centre");
  Parsed.Versions = readVersions(Reader);
  const nlohmann::json &Shapes = Reader.array("shapes");
  for (std::size_t I = 0; I < Shapes.size(); ++I) {
    JsonReader Item(Shapes[I], "/shapes/" + std::to_string(I));
    Parsed.Shapes.push_back(readShape(Item));
    Reader.adopt(Item);
  }
  if (Reader.error())
    return boost::outcome_v2::failure(*Reader.error());
  return Parsed;
}

} // namespace carawaypond::standins
