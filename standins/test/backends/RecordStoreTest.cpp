#include "backends/records/RecordStore.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <set>
#include <string>

using namespace carawaypond::standins;

namespace {

nlohmann::json search(const RecordStore &Store, const RecordQuery &Query) {
  RecordSet Found = Store.search(Query);
  nlohmann::json Records = nlohmann::json::parse(Found.Json);
  CHECK(Records.size() == Found.Count);
  return Records;
}

} // namespace

TEST_CASE("every layout's shards hold each record once") {
  RecordStore Store("desk", RecordKind::Claims);
  std::multiset<std::string> First;
  for (std::uint32_t ShardCount : {1U, 4U, 7U}) {
    std::multiset<std::string> Ids;
    for (std::uint32_t Shard = 0; Shard < ShardCount; ++Shard)
      for (const auto &Record : search(Store, {.Field = "council",
                                              .Value = "umea",
                                              .EchoToken = {},
                                              .Shard = Shard,
                                              .ShardCount = ShardCount}))
        Ids.insert(Record["id"]);
    CHECK_FALSE(Ids.empty());
    if (ShardCount == 1)
      First = Ids;
    CHECK(Ids == First);
  }
}

TEST_CASE("records carry their version and differ between versions") {
  RecordStore Store("desk", RecordKind::Invoices);
  RecordQuery Query{.Field = "id", .Value = "I-7", .EchoToken = {}};
  nlohmann::json Old = search(Store, Query);
  Query.Version = 2;
  nlohmann::json New = search(Store, Query);
  REQUIRE(Old.size() == 1);
  CHECK(New[0]["version"] == 2);
  CHECK(Old[0]["amount"] != New[0]["amount"]);
}

TEST_CASE("an echo carries the token as it was sent") {
  RecordStore Store("desk", RecordKind::PurchaseOrders);
  nlohmann::json Records = search(
      Store, {.Field = {}, .Value = {}, .EchoToken = "a\"b", .Shard = 3});
  REQUIRE(Records.size() == 1);
  CHECK(Records[0]["echo"] == "a\"b");
  CHECK(Records[0]["shard"] == 3);
}

TEST_CASE("two processes make the same records") {
  RecordQuery Query{.Field = "state", .Value = "received", .EchoToken = {}};
  CHECK(RecordStore("s", RecordKind::DeliveryNotes).search(Query).Json ==
        RecordStore("s", RecordKind::DeliveryNotes).search(Query).Json);
}
