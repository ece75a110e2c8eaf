#include "backends/server/IndexChange.h"

#include "coordination/model/JsonReader.h"

#include <nlohmann/json.hpp>

namespace carawaypond::standins {

namespace {

constexpr std::uint64_t MaxMillis = 3'600'000;
constexpr std::uint64_t MaxCount = 10'000;
constexpr std::uint64_t MaxVersion = 1'000'000'000'000;

Repartition readRepartition(JsonReader &Parent) {
  JsonReader Reader(Parent.object("repartition"), "/index/repartition");
  Reader.allowOnly({"shards", "replicas", "after"});
  Repartition Layout;
  Layout.Shards =
      static_cast<std::uint32_t>(Reader.integer("shards", 1, MaxCount));
  if (Reader.has("replicas"))
    Layout.Replicas =
        static_cast<std::uint32_t>(Reader.integer("replicas", 1, MaxCount));
  Layout.After = Reader.integerOr("after", 1, MaxCount, 1);
  Parent.adopt(Reader);
  return Layout;
}

} // namespace

Result<IndexChange> parseIndexChange(const nlohmann::json &Body) {
  JsonReader Reader(Body, "/index");
  Reader.allowOnly(
      {"version_every_ms", "max_lag", "withdraw", "advance", "repartition"});
  IndexChange Change;
  if (Reader.has("version_every_ms"))
    Change.Every =
        Milliseconds(Reader.integer("version_every_ms", 0, MaxMillis));
  if (Reader.has("max_lag"))
    Change.MaxLag = Reader.integer("max_lag", 0, MaxCount);
  if (Reader.has("withdraw"))
    Change.Withdraw = IndexVersion(Reader.integer("withdraw", 0, MaxVersion));
  Change.Advance = Reader.integerOr("advance", 0, MaxCount, 0);
  if (Reader.has("repartition"))
    Change.Layout = readRepartition(Reader);
  if (Reader.error())
    return boost::outcome_v2::failure(*Reader.error());
  return Change;
}

void apply(const IndexChange &Change, ServiceRuntime &Service, Fleet &Owner) {
  IndexTimeline &Timeline = Service.Timeline;
  if (Change.MaxLag)
    Owner.setMaxLag(Service, *Change.MaxLag);
  if (Change.Withdraw)
    Timeline.withdraw(*Change.Withdraw);
  if (Change.Layout) {
    std::uint32_t Replicas =
        Change.Layout->Replicas.value_or(Service.Shape.Replicas);
    Timeline.repartition(Change.Layout->Shards, Replicas, Change.Layout->After);
    Owner.publish(Service);
  }
  Owner.advance(Service, Change.Advance);
  if (Change.Every)
    Owner.setInterval(Service, *Change.Every);
}

} // namespace carawaypond::standins
