#include "daemon/control/VersionTable.h"

#include <doctest/doctest.h>

using namespace carawaypond;
using carawaypond::daemon::VersionTable;

namespace {

constexpr TimePoint Start{std::chrono::hours(1)};
// More rows than the rotating part of one digest holds.
constexpr std::uint32_t Shards = 100;

ServiceReplicaVersions makeRow(std::uint32_t Shard, std::uint64_t Newest) {
  VersionRange Range{
      .Layout = 1, .Oldest = IndexVersion(1), .Newest = IndexVersion(Newest)};
  return {.Service = ServiceName("claims"),
          .Replica = {.Server = ServerName("s-1"),
                      .Shard = ShardId(Shard),
                      .Ranges = {Range}}};
}

VersionTable makeTable() {
  VersionTable Table;
  for (std::uint32_t Shard = 0; Shard < Shards; ++Shard)
    Table.take({makeRow(Shard, 5)}, Start);
  return Table;
}

std::size_t rowsAt(VersionTable &Table, TimePoint Now) {
  Digest Out;
  Table.fill(Out, Now);
  return Out.Versions.size();
}

} // namespace

TEST_CASE("a recent change is in every digest, an older one only in rotation") {
  VersionTable Table = makeTable();
  TimePoint Later = Start + std::chrono::seconds(10);
  std::size_t Rotating = rowsAt(Table, Later);
  CHECK(Rotating < Shards);
  Table.take({makeRow(7, 6)}, Later);
  Table.take({makeRow(7, 7)}, Later + Milliseconds(1));
  for (int I = 0; I < 3; ++I) {
    Digest Out;
    Table.fill(Out, Later + Milliseconds(500));
    CHECK(Out.Versions.size() == Rotating + 1);
    CHECK(Out.Versions.front() == makeRow(7, 7));
  }
  CHECK(rowsAt(Table, Later + std::chrono::seconds(10)) == Rotating);
}

TEST_CASE("a row that is not newer is ignored") {
  VersionTable Table = makeTable();
  CHECK(Table.take({makeRow(7, 5), makeRow(8, 4)}, Start).empty());
  CHECK(Table.take({makeRow(9, 6)}, Start).size() == 1);
}
