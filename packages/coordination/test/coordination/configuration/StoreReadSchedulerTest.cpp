#include "coordination/configuration/StoreReadScheduler.h"
#include "coordination/configuration/WatchPlan.h"

#include <doctest/doctest.h>

#include <memory>

using namespace carawaypond;

namespace {

constexpr TimePoint Start{std::chrono::hours(1)};

std::vector<VmRecord> makeFleet(int Vms, int Centres) {
  std::vector<VmRecord> All;
  for (int I = 0; I < Vms; ++I) {
    VmRecord Vm;
    Vm.Name = VmName("vm-" + std::to_string(I));
    Vm.Centre = DataCentre("dc-" + std::to_string(I % Centres));
    All.push_back(Vm);
  }
  return All;
}

} // namespace

TEST_CASE("the number of watchers grows with the data centres, not the VMs") {
  CHECK(chooseWatchers({}, makeFleet(8, 4)).size() == 8);
  CHECK(chooseWatchers({}, makeFleet(80, 4)).size() == 8);
  CHECK(chooseWatchers({}, makeFleet(2700, 34)).size() == 40);
}

TEST_CASE("a watcher lists once per period and keeps one watch open") {
  StoreReadScheduler Feed({});
  CHECK(Feed.tick(true, 8, {}, Start) ==
        std::vector<StoreReadAction>{ListObjects{}});
  CHECK(Feed.tick(true, 8, {}, Start).empty());
  Feed.onList(41, Start);
  std::vector<StoreReadAction> Next = Feed.tick(true, 8, Start, Start);
  REQUIRE(Next.size() == 1);
  CHECK(std::get<WatchObjects>(Next[0]).After == 41);
  CHECK(Feed.tick(true, 8, Start, Start + std::chrono::seconds(1)) ==
        std::vector<StoreReadAction>{ListObjects{}});
}

TEST_CASE("a whole fleet probes slowly and evenly during a store outage") {
  constexpr int Vms = 1000;
  std::vector<std::unique_ptr<StoreReadScheduler>> Feeds;
  for (int I = 0; I < Vms; ++I)
    Feeds.push_back(std::make_unique<StoreReadScheduler>(
        StoreReadSchedulerOptions{.Seed = static_cast<std::uint64_t>(I)}));
  int MostInASecond = 0;
  int InThisSecond = 0;
  for (int Step = 1; Step <= 600; ++Step) {
    TimePoint Now = Start + Step * Milliseconds(100);
    for (auto &Feed : Feeds)
      if (!Feed->tick(false, Vms, std::nullopt, Now).empty()) {
        ++InThisSecond;
        Feed->onList(std::nullopt, Now);
      }
    if (Step % 10 == 0) {
      MostInASecond = std::max(MostInASecond, InThisSecond);
      InThisSecond = 0;
    }
  }
  CHECK(MostInASecond < 150);
}
