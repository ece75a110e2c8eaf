#include "backends/run/ServerFaults.h"

#include "coordination/model/JsonReader.h"

#include <nlohmann/json.hpp>

namespace carawaypond::standins {

namespace {

constexpr std::uint64_t MaxMillis = 600'000;
constexpr double MinSlow = 0.01;
constexpr double MaxSlow = 100'000;

double readRatio(JsonReader &Reader, const nlohmann::json &Body,
                 const char *Key, double Default) {
  if (Reader.has(Key) && Body[Key].is_boolean())
    return Body[Key].get<bool>() ? 1 : 0;
  return Reader.numberOr(Key, 0, 1, Default);
}

Milliseconds readMillis(JsonReader &Reader, const char *Key,
                        Milliseconds Default) {
  return Milliseconds(Reader.integerOr(
      Key, 0, MaxMillis, static_cast<std::uint64_t>(Default.count())));
}

std::optional<bool> readHealthOverride(JsonReader &Reader,
                                       const nlohmann::json &Body,
                                       std::optional<bool> Default) {
  if (!Reader.has("lie_health"))
    return Default;
  const nlohmann::json &Value = Body["lie_health"];
  if (Value == "healthy")
    return true;
  if (Value == "unhealthy")
    return false;
  if (Value != false)
    Reader.fail("lie_health", "must be \"healthy\", \"unhealthy\" or false");
  return std::nullopt;
}

} // namespace

Result<ServerFaults> withFaults(ServerFaults Faults,
                                const nlohmann::json &Body) {
  JsonReader Reader(Body, "/faults");
  Reader.allowOnly({"clear", "slow", "stall", "fail_ratio", "shed_ratio",
                    "truncate", "garbage", "drop_after_run", "stale_answer",
                    "lie_health", "delay_ms", "reorder_ms", "cold_ms"});
  if (Reader.booleanOr("clear", false))
    Faults = ServerFaults{};
  ServerFaults Next{
      .Slow = Reader.numberOr("slow", MinSlow, MaxSlow, Faults.Slow),
      .Stall = Reader.booleanOr("stall", Faults.Stall),
      .FailRatio = readRatio(Reader, Body, "fail_ratio", Faults.FailRatio),
      .ShedRatio = readRatio(Reader, Body, "shed_ratio", Faults.ShedRatio),
      .TruncateRatio =
          readRatio(Reader, Body, "truncate", Faults.TruncateRatio),
      .GarbageRatio = readRatio(Reader, Body, "garbage", Faults.GarbageRatio),
      .DropAfterRunRatio =
          readRatio(Reader, Body, "drop_after_run", Faults.DropAfterRunRatio),
      .StaleAnswerRatio =
          readRatio(Reader, Body, "stale_answer", Faults.StaleAnswerRatio),
      .HealthOverride = readHealthOverride(Reader, Body, Faults.HealthOverride),
      .Delay = readMillis(Reader, "delay_ms", Faults.Delay),
      .Reorder = readMillis(Reader, "reorder_ms", Faults.Reorder),
      .ColdFor = readMillis(Reader, "cold_ms", Faults.ColdFor)};
  if (Reader.error())
    return boost::outcome_v2::failure(*Reader.error());
  return Next;
}

} // namespace carawaypond::standins
