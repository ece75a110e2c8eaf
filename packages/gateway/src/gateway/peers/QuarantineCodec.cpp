#include "gateway/peers/QuarantineCodec.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdint>

namespace carawaypond::gateway {

using nlohmann::json;

namespace {

constexpr const char *Key = "quarantine";
constexpr const char *ContentKey = "content";
constexpr const char *CrashesKey = "crashes";
constexpr const char *SurvivedKey = "survived_ms";
constexpr std::size_t MaxCrashes = 4;
constexpr std::size_t CrashFields = 3; ///< Replica, request, age.
constexpr std::uint64_t MaxAgeMillis = 3'600'000;

bool isNumber(const json &Item, std::uint64_t Max) {
  return Item.is_number_unsigned() && Item.get<std::uint64_t>() <= Max;
}

bool isCrash(const json &Item) {
  return Item.is_array() && Item.size() == CrashFields &&
         isNumber(Item[0], UINT32_MAX) && isNumber(Item[1], UINT32_MAX) &&
         isNumber(Item[2], MaxAgeMillis);
}

ReplicaCrash decodeCrash(const json &Item) {
  return {.Replica = ReplicaHash(Item[0].get<std::uint32_t>()),
          .Request = RequestHash(Item[1].get<std::uint32_t>()),
          .Age = Milliseconds(Item[2].get<std::int64_t>())};
}

bool isReport(const json &Item) {
  if (!Item.is_object() || !Item.contains(ContentKey) ||
      !isNumber(Item[ContentKey], UINT64_MAX))
    return false;
  bool HasCrashes = Item.contains(CrashesKey) && Item[CrashesKey].is_array();
  bool IsSurvivedRead =
      !Item.contains(SurvivedKey) || isNumber(Item[SurvivedKey], MaxAgeMillis);
  return HasCrashes && IsSurvivedRead &&
         std::all_of(Item[CrashesKey].begin(), Item[CrashesKey].end(), isCrash);
}

QuarantineReport decodeReport(const json &Item) {
  QuarantineReport Read;
  Read.Content = ContentHash(Item[ContentKey].get<std::uint64_t>());
  for (const json &Each : Item[CrashesKey])
    if (Read.Crashes.size() < MaxCrashes)
      Read.Crashes.push_back(decodeCrash(Each));
  if (Item.contains(SurvivedKey))
    Read.SurvivedAge = Milliseconds(Item[SurvivedKey].get<std::int64_t>());
  return Read;
}

json encodeReport(const QuarantineReport &Told) {
  json Crashes = json::array();
  std::size_t Count = std::min(Told.Crashes.size(), MaxCrashes);
  for (auto Each = Told.Crashes.end() - static_cast<std::ptrdiff_t>(Count);
       Each != Told.Crashes.end(); ++Each)
    Crashes.push_back(
        json::array({Each->Replica.value(), Each->Request.value(),
                     static_cast<std::uint64_t>(Each->Age.count())}));
  json Item;
  Item[ContentKey] = Told.Content.value();
  Item[CrashesKey] = std::move(Crashes);
  if (Told.SurvivedAge)
    Item[SurvivedKey] = static_cast<std::uint64_t>(Told.SurvivedAge->count());
  return Item;
}

} // namespace

void addQuarantine(json &Body, const std::vector<QuarantineReport> &Reports) {
  if (Reports.empty())
    return;
  Body[Key] = json::array();
  for (const QuarantineReport &Each : Reports)
    if (Body[Key].size() < MaxQuarantineReports)
      Body[Key].push_back(encodeReport(Each));
}

std::vector<QuarantineReport> readQuarantine(const json &Body) {
  std::vector<QuarantineReport> Read;
  auto List = Body.find(Key);
  if (List == Body.end() || !List->is_array())
    return Read;
  for (const json &Each : *List)
    if (Read.size() < MaxQuarantineReports && isReport(Each))
      Read.push_back(decodeReport(Each));
  return Read;
}

} // namespace carawaypond::gateway
