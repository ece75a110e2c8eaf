#include "backends/records/RecordStore.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <random>
#include <string_view>
#include <utility>

namespace carawaypond::standins {

namespace {

constexpr std::uint64_t FirstHousehold = 1000;
constexpr std::uint64_t Households = 64;
constexpr std::uint64_t Stores = 40;
constexpr std::uint64_t Suppliers = 24;
constexpr std::uint64_t Orders = 96;
constexpr std::uint64_t MaxAmount = 500'000;

using Random = std::mt19937_64;
using Fields = std::vector<std::pair<std::string, std::string>>;

/// FNV-1a: identical in every process, which std::hash does not guarantee.
std::uint64_t stableHash(std::string_view Text) {
  std::uint64_t Hash = 14695981039346656037U;
  for (unsigned char Byte : Text)
    Hash = (Hash ^ Byte) * 1099511628211U;
  return Hash;
}

std::string pick(Random &Draw, const char *Prefix, std::uint64_t Count,
                 std::uint64_t First = 1) {
  return Prefix + std::to_string(First + Draw() % Count);
}

template <std::size_t N>
std::string pickOne(Random &Draw, const std::array<const char *, N> &Names) {
  return Names[Draw() % N];
}

Fields claim(const std::string &Number, Random &Draw) {
  return {{"id", "C-" + Number},
          {"household", pick(Draw, "H-", Households, FirstHousehold)},
          {"discount",
           pickOne<3>(Draw, {"single-occupancy", "student", "disability"})},
          {"council", pickOne<3>(Draw, {"umea", "lulea", "skelleftea"})}};
}

Fields invoice(const std::string &Number, Random &Draw) {
  return {{"id", "I-" + Number},
          {"supplier", pick(Draw, "S-", Suppliers)},
          {"store", pick(Draw, "F-", Stores)},
          {"order", pick(Draw, "P-", Orders)}};
}

Fields deliveryNote(const std::string &Number, Random &Draw) {
  return {{"id", "D-" + Number},
          {"store", pick(Draw, "F-", Stores)},
          {"order", pick(Draw, "P-", Orders)},
          {"state", pickOne<2>(Draw, {"received", "disputed"})}};
}

Fields purchaseOrder(const std::string &Number, Random &Draw) {
  return {{"id", "P-" + Number},
          {"supplier", pick(Draw, "S-", Suppliers)},
          {"store", pick(Draw, "F-", Stores)},
          {"state", pickOne<3>(Draw, {"open", "matched", "paid"})}};
}

Fields fieldsOf(RecordKind Kind, const std::string &Number, Random &Draw) {
  switch (Kind) {
  case RecordKind::Claims:
    return claim(Number, Draw);
  case RecordKind::Invoices:
    return invoice(Number, Draw);
  case RecordKind::DeliveryNotes:
    return deliveryNote(Number, Draw);
  case RecordKind::PurchaseOrders:
    return purchaseOrder(Number, Draw);
  }
  return {};
}

std::uint32_t shardOf(const SearchRecord &Record, std::uint32_t ShardCount) {
  return stableHash(Record.Fields.front().second) % ShardCount;
}

bool matches(const SearchRecord &Record, const RecordQuery &Query) {
  return std::any_of(
      Record.Fields.begin(), Record.Fields.end(), [&](const auto &Field) {
        return Field.first == Query.Field && Field.second == Query.Value;
      });
}

/// Appends the shard, layout and version, and closes the record.
void appendSource(std::string &Text, const RecordQuery &Query) {
  Text += R"("shard":)" + std::to_string(Query.Shard);
  Text += R"(,"layout":)" + std::to_string(Query.Layout);
  Text += R"(,"version":)" + std::to_string(Query.Version) + "}";
}

void appendRecord(std::string &Text, const SearchRecord &Record,
                  const RecordQuery &Query) {
  Text += '{';
  for (const auto &[Name, Value] : Record.Fields)
    Text.append("\"").append(Name).append("\":\"").append(Value).append("\",");
  Text += R"("amount":)" + std::to_string(Record.Amount + Query.Version) + ",";
  appendSource(Text, Query);
}

} // namespace

RecordStore::RecordStore(std::string Service, RecordKind Kind)
    : m_Service(std::move(Service)) {
  Random Draw(stableHash(m_Service));
  for (std::uint32_t I = 1; I <= RecordCount; ++I)
    m_Records.push_back({.Fields = fieldsOf(Kind, std::to_string(I), Draw),
                         .Amount = Draw() % MaxAmount});
}

RecordSet RecordStore::search(const RecordQuery &Query) const {
  if (!Query.EchoToken.empty())
    return echo(Query);
  RecordSet Found{.Count = 0, .Json = "["};
  for (const SearchRecord &Record : m_Records) {
    if (!matches(Record, Query))
      continue;
    if (shardOf(Record, Query.ShardCount) != Query.Shard)
      continue;
    if (Found.Count++ > 0)
      Found.Json += ',';
    appendRecord(Found.Json, Record, Query);
  }
  Found.Json += ']';
  return Found;
}

RecordSet RecordStore::echo(const RecordQuery &Query) const {
  std::string Text =
      R"([{"id":"E-)" + std::to_string(Query.Shard) + R"(","echo":)";
  Text += nlohmann::json(Query.EchoToken).dump();
  Text += R"(,"service":")" + m_Service + R"(",)";
  appendSource(Text, Query);
  Text += ']';
  return {.Count = 1, .Json = std::move(Text)};
}

} // namespace carawaypond::standins
