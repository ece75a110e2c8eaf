#include "coordination/model/ServiceConfig.h"

#include "coordination/model/JsonReader.h"

#include <algorithm>
#include <cctype>
#include <set>

namespace carawaypond {

namespace {

constexpr std::uint64_t MaxDeadlineMillis = 600'000;
constexpr std::uint64_t MaxConcurrentQueries = 100'000;
constexpr std::uint64_t MaxRequestBytes = 1U << 20U;
constexpr std::size_t MaxClasses = 32;
constexpr std::size_t MaxNameBytes = 64;

bool isNameChar(unsigned char C) {
  return std::isalnum(C) || C == '-' || C == '_' || C == '.';
}

std::string readName(JsonReader &Reader, std::string_view Key) {
  std::string Name = Reader.string(Key, 1, MaxNameBytes);
  if (!std::all_of(Name.begin(), Name.end(), isNameChar))
    Reader.fail(Key, "may hold only letters, digits, '-', '_' and '.'");
  return Name;
}

CallerClass readClass(JsonReader &Reader) {
  Reader.allowOnly({"name", "share", "deadline_ms"});
  return {.Name = ClassName(readName(Reader, "name")),
          .Share = Reader.numberOr("share", 0.001, 1.0, 1.0),
          .Deadline = Milliseconds(
              Reader.integerOr("deadline_ms", 1, MaxDeadlineMillis, 110))};
}

std::vector<CallerClass> readClasses(JsonReader &Reader) {
  const nlohmann::json &Array = Reader.array("classes");
  if (Array.empty() || Array.size() > MaxClasses)
    Reader.fail("classes",
                "must hold 1 to " + std::to_string(MaxClasses) + " classes");
  std::vector<CallerClass> Classes;
  std::set<ClassName> Names;
  for (std::size_t I = 0; I < Array.size(); ++I) {
    JsonReader Item(Array[I],
                    Reader.pathOf("classes") + "/" + std::to_string(I));
    Classes.push_back(readClass(Item));
    if (!Names.insert(Classes.back().Name).second)
      Item.fail("name", "stands twice");
    Reader.adopt(Item);
  }
  return Classes;
}

ServiceLimits readLimits(JsonReader &Reader) {
  ServiceLimits Limits;
  if (!Reader.has("limits"))
    return Limits;
  JsonReader Item(Reader.object("limits"), Reader.pathOf("limits"));
  Item.allowOnly({"concurrent_queries", "request_bytes"});
  Limits.ConcurrentQueries = static_cast<std::uint32_t>(Item.integerOr(
      "concurrent_queries", 1, MaxConcurrentQueries, Limits.ConcurrentQueries));
  Limits.RequestBytes = static_cast<std::uint32_t>(
      Item.integerOr("request_bytes", 1, MaxRequestBytes, Limits.RequestBytes));
  Reader.adopt(Item);
  return Limits;
}

void readExtraLoad(JsonReader &Reader, ServiceConfig &Config) {
  if (!Reader.has("extra_load"))
    return;
  JsonReader Item(Reader.object("extra_load"), Reader.pathOf("extra_load"));
  Item.allowOnly({"ratio", "burst"});
  Config.ExtraLoadRatio =
      Item.numberOr("ratio", 0.0, 1.0, Config.ExtraLoadRatio);
  Config.ExtraLoadBurst =
      Item.numberOr("burst", 0.0, 1000.0, Config.ExtraLoadBurst);
  Reader.adopt(Item);
}

} // namespace

Result<ServiceConfig> parseServiceConfig(const nlohmann::json &Content) {
  JsonReader Reader(Content, "");
  Reader.allowOnly(
      {"name", "index", "classes", "limits", "extra_load", "hedge_quantile"});
  ServiceConfig Config;
  Config.Name = ServiceName(readName(Reader, "name"));
  Config.Index = readName(Reader, "index");
  Config.Classes = readClasses(Reader);
  Config.Limits = readLimits(Reader);
  readExtraLoad(Reader, Config);
  Config.HedgeQuantile =
      Reader.numberOr("hedge_quantile", 0.5, 0.9999, Config.HedgeQuantile);
  if (Reader.error())
    return boost::outcome_v2::failure(*Reader.error());
  return Config;
}

nlohmann::json toJson(const ServiceConfig &Config) {
  nlohmann::json Classes = nlohmann::json::array();
  for (const CallerClass &Class : Config.Classes)
    Classes.push_back(
        {{"name", Class.Name.value()},
         {"share", Class.Share},
         {"deadline_ms", static_cast<std::uint64_t>(Class.Deadline.count())}});
  return {
      {"name", Config.Name.value()},
      {"index", Config.Index},
      {"classes", std::move(Classes)},
      {"limits",
       {{"concurrent_queries", Config.Limits.ConcurrentQueries},
        {"request_bytes", Config.Limits.RequestBytes}}},
      {"extra_load",
       {{"ratio", Config.ExtraLoadRatio}, {"burst", Config.ExtraLoadBurst}}},
      {"hedge_quantile", Config.HedgeQuantile}};
}

} // namespace carawaypond
