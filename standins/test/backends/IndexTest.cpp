#include "backends/index/ReplicaWindow.h"

#include "support/Plans.h"

using namespace carawaypond;
using namespace carawaypond::standins;

namespace {

const ServerName FirstServer("claims-g0-r0");

IndexTimeline smallTimeline() { return {smallPlan().Index, SmallVersions}; }

void advance(IndexTimeline &Timeline, int Count) {
  for (int I = 0; I < Count; ++I)
    REQUIRE(Timeline.advance());
}

} // namespace

TEST_CASE("a replica keeps the last versions only") {
  IndexTimeline Timeline = smallTimeline();
  ReplicaWindow Window(FirstServer, Timeline);
  advance(Timeline, 5);
  Window.follow(0);
  CHECK(Window.newest() == IndexVersion(15));
  CHECK(Window.oldest() == IndexVersion(13));
  CHECK_FALSE(Window.refusalOf(ShardId(0), 1, IndexVersion(13)));
  CHECK(Window.refusalOf(ShardId(0), 1, IndexVersion(12)) ==
        VersionGoneRefusal);
  CHECK(Window.refusalOf(ShardId(0), 1, IndexVersion(16)) ==
        VersionUnknownRefusal);
  CHECK(Window.refusalOf(ShardId(1), 1, IndexVersion(15)) ==
        ShardUnknownRefusal);
}

TEST_CASE("a lagging replica never moves back to an older version") {
  IndexTimeline Timeline = smallTimeline();
  ReplicaWindow Window(FirstServer, Timeline);
  advance(Timeline, 2);
  Window.follow(0);
  advance(Timeline, 1);
  Window.follow(3);
  CHECK(Window.newest() == IndexVersion(12));
}

TEST_CASE("a withdrawn version is gone") {
  IndexTimeline Timeline = smallTimeline();
  ReplicaWindow Window(FirstServer, Timeline);
  advance(Timeline, 1);
  Window.follow(0);
  Timeline.withdraw(IndexVersion(11));
  CHECK(Window.refusalOf(ShardId(0), 1, IndexVersion(11)) ==
        VersionGoneRefusal);
  CHECK(Window.served().front().Ranges.front().Newest == IndexVersion(10));
}

TEST_CASE("no version of a layout is served before the platform knows it") {
  IndexTimeline Timeline = smallTimeline();
  std::uint64_t Layout = Timeline.repartition(3, 2, 2);
  CHECK(Timeline.index().Layouts.back().FromVersion == IndexVersion(12));
  advance(Timeline, 1);
  CHECK_FALSE(Timeline.advance());
  Timeline.confirmPublished(Layout);
  CHECK(Timeline.advance());
}

TEST_CASE("each version is served under its own layout alone") {
  IndexTimeline Timeline = smallTimeline();
  ReplicaWindow Window(FirstServer, Timeline);
  Timeline.confirmPublished(Timeline.repartition(3, 2, 2));
  advance(Timeline, 2);
  Window.follow(0);
  CHECK(Window.refusalOf(ShardId(0), 1, IndexVersion(12)) ==
        WrongLayoutRefusal);
  CHECK(Window.refusalOf(ShardId(0), 2, IndexVersion(11)) ==
        WrongLayoutRefusal);
  CHECK_FALSE(Window.refusalOf(ShardId(0), 2, IndexVersion(12)));
  std::vector<ReplicaVersions> Served = Window.served();
  REQUIRE(Served.front().Ranges.size() == 2);
  CHECK(Served.front().Ranges[0] ==
        VersionRange{1, IndexVersion(10), IndexVersion(11)});
  CHECK(Served.front().Ranges[1] ==
        VersionRange{2, IndexVersion(12), IndexVersion(12)});
}

TEST_CASE("layouts that no replica serves are dropped") {
  IndexTimeline Timeline = smallTimeline();
  Timeline.confirmPublished(Timeline.repartition(3, 2, 1));
  advance(Timeline, 5);
  Timeline.repartition(4, 2, 1);
  CHECK(Timeline.index().findLayout(1) == nullptr);
  CHECK(Timeline.index().findLayout(2) != nullptr);
}
