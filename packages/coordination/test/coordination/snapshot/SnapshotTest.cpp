#include "coordination/snapshot/Snapshot.h"
#include "coordination/snapshot/SnapshotPinner.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <optional>

using namespace carawaypond;

namespace {

constexpr std::uint64_t Versions = 8;
constexpr std::uint32_t Servers = 4;
constexpr std::uint32_t Shards = 3;
const TimePoint Now{std::chrono::hours(1)};

ServerName serverName(std::uint32_t Number) {
  return ServerName("s-" + std::to_string(Number));
}

IndexLayout makeLayout(std::uint64_t Number, IndexVersion From) {
  IndexLayout Layout{.Layout = Number, .FromVersion = From, .Shards = {}};
  for (std::uint32_t I = 0; I < Shards; ++I)
    Layout.Shards.push_back(
        {.Shard = ShardId(I),
         .Replicas = {serverName(I), serverName((I + 1) % Servers)}});
  return Layout;
}

IndexObject makeIndex() {
  IndexObject Index;
  Index.Name = "claims";
  Index.ObjectVersion = 1;
  for (std::uint32_t I = 0; I < Servers; ++I)
    Index.Servers.push_back({.Name = serverName(I),
                             .Address = "",
                             .Centre = DataCentre("umea-a"),
                             .Slots = 2,
                             .Connections = 25,
                             .Leaving = false});
  Index.Layouts.push_back(makeLayout(1, IndexVersion(0)));
  return Index;
}

void serve(ReplicaVersionTracker &Board, std::uint32_t Server,
           std::uint32_t Shard, std::uint64_t Oldest, std::uint64_t Newest) {
  Board.noteRefusal(serverName(Server), ShardId(Shard),
                    {.Layout = 1,
                     .Oldest = IndexVersion(Oldest),
                     .Newest = IndexVersion(Newest)},
                    Now);
}

/// Finds the newest version by testing each version on each shard.
std::optional<std::uint64_t>
newestByBruteForce(const IndexObject &Index,
                   const ReplicaVersionTracker &Board) {
  for (std::uint64_t Version = Versions; Version-- > 0;) {
    bool ServedByAll = true;
    for (const ShardReplicas &Shard : Index.Layouts[0].Shards) {
      bool AnyUp = false;
      bool Served = false;
      for (const ServerName &Server : Shard.Replicas) {
        if (Board.stateOf(Server) != ServerState::Up)
          continue;
        AnyUp = true;
        Served = Served || Board.serves(Server, Shard.Shard, 1,
                                        IndexVersion(Version)) == Serves::Yes;
      }
      ServedByAll = ServedByAll && (Served || !AnyUp);
    }
    if (ServedByAll)
      return Version;
  }
  return std::nullopt;
}

} // namespace

TEST_CASE("the pinned version is the same as by brute force") {
  CHECK(rc::check([] {
    IndexObject Index = makeIndex();
    ReplicaVersionTracker Board;
    bool AnyShardUp = false;
    for (const ShardReplicas &Shard : Index.Layouts[0].Shards)
      for (const ServerName &Server : Shard.Replicas) {
        auto Oldest = *rc::gen::inRange<std::uint64_t>(0, Versions);
        auto Newest = *rc::gen::inRange<std::uint64_t>(Oldest, Versions);
        Board.noteRefusal(Server, Shard.Shard,
                          {.Layout = 1,
                           .Oldest = IndexVersion(Oldest),
                           .Newest = IndexVersion(Newest)},
                          Now);
      }
    for (std::uint32_t I = 0; I < Servers; ++I)
      if (*rc::gen::weightedElement<bool>({{3, false}, {1, true}}))
        Board.setState(serverName(I), ServerState::Down);
    for (const ShardReplicas &Shard : Index.Layouts[0].Shards)
      for (const ServerName &Server : Shard.Replicas)
        AnyShardUp = AnyShardUp || Board.stateOf(Server) == ServerState::Up;
    RC_PRE(AnyShardUp);

    auto Pinned = pinSnapshot(Index, Board);
    std::optional<std::uint64_t> Expected = newestByBruteForce(Index, Board);
    RC_ASSERT(Pinned.has_value() == Expected.has_value());
    if (Expected)
      RC_ASSERT(Pinned.value().Version == IndexVersion(*Expected));
  }));
}

TEST_CASE("a shard without a live replica is kept in the snapshot as missing") {
  IndexObject Index = makeIndex();
  ReplicaVersionTracker Board;
  for (std::uint32_t Shard = 0; Shard < Shards; ++Shard) {
    serve(Board, Shard, Shard, 1, 5);
    serve(Board, Shard + 1, Shard, 1, 5);
  }
  Board.setState(serverName(0), ServerState::Down);
  Board.setState(serverName(1), ServerState::Down);
  auto Pinned = pinSnapshot(Index, Board);
  REQUIRE(Pinned);
  REQUIRE(Pinned.value().Shards.size() == Shards);
  CHECK(!Pinned.value().Shards[0].Reachable);
  CHECK(Pinned.value().Shards[1].Reachable);
}

TEST_CASE("a newer layout is pinned only once all of its shards serve it") {
  IndexObject Index = makeIndex();
  Index.Layouts.push_back(makeLayout(2, IndexVersion(6)));
  ReplicaVersionTracker Board;
  for (std::uint32_t Shard = 0; Shard < Shards; ++Shard)
    serve(Board, Shard, Shard, 1, 7);
  CHECK(pinSnapshot(Index, Board).value().Layout == 1);
  CHECK(pinSnapshot(Index, Board).value().Version == IndexVersion(5));
  for (std::uint32_t Shard = 0; Shard < Shards; ++Shard)
    Board.noteAnswer(
        serverName(Shard), ShardId(Shard),
        {.Layout = 2, .Oldest = IndexVersion(6), .Newest = IndexVersion(7)},
        Now);
  CHECK(pinSnapshot(Index, Board).value().Layout == 2);
}

TEST_CASE("a delayed status does not move a range back") {
  ReplicaVersionTracker Board;
  ServerName Server("s-1");
  VersionRange New{
      .Layout = 1, .Oldest = IndexVersion(4), .Newest = IndexVersion(9)};
  VersionRange Old{
      .Layout = 1, .Oldest = IndexVersion(1), .Newest = IndexVersion(5)};
  Board.noteAnswer(Server, ShardId(0), New, Now);
  Board.noteStatus({.Server = Server, .Shard = ShardId(0), .Ranges = {Old}},
                   Now - Milliseconds(50));
  CHECK(*Board.rangeOf(Server, ShardId(0), 1) == New);
  Board.noteStatus({.Server = Server, .Shard = ShardId(0), .Ranges = {}},
                   Now - Milliseconds(50));
  CHECK(Board.rangeOf(Server, ShardId(0), 1) != nullptr);
  Board.noteStatus({.Server = Server, .Shard = ShardId(0), .Ranges = {}},
                   Now + Milliseconds(50));
  CHECK(Board.rangeOf(Server, ShardId(0), 1) == nullptr);
}

TEST_CASE("a pinner updates the snapshot after the versions have changed") {
  SnapshotPinner Pinner(makeIndex());
  CHECK(!Pinner.pin());
  for (std::uint32_t Shard = 0; Shard < Shards; ++Shard)
    serve(Pinner.board(), Shard, Shard, 1, 5);
  auto First = Pinner.pin().value();
  CHECK(First == Pinner.pin().value());
  for (std::uint32_t Shard = 0; Shard < Shards; ++Shard)
    serve(Pinner.board(), Shard, Shard, 1, 6);
  CHECK(Pinner.pin().value()->Version == IndexVersion(6));
}
