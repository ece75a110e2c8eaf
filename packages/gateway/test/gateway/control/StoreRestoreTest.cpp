#include "gateway/RunningGateway.h"
#include "gateway/SiteConfig.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace carawaypond;
using namespace carawaypond::gateway;

namespace {

constexpr Milliseconds ApplyBound{3'000};
/// Number of revisions that the store has given out again when a VM looks.
constexpr std::uint64_t GivenOutAgain = 50;
/// Less than FollowOptions::AnswerPause.
constexpr Milliseconds WithinPause{60};

/// @brief A site of two replicas, whose store loses what it acknowledged after
/// the constructor.
struct RestoredSite {
  FakeSite Site;
  FakeSite::Replica &First = Site.addReplica("s0");
  FakeSite::Replica &Second = Site.addReplica("s0");

  RestoredSite() {
    Site.putConfig(1, {makeRoute()});
    Site.takeCopy();
  }

  /// @brief Writes what the store is going to lose.
  void writeTail() {
    for (int Sequence = 2; Sequence < 12; ++Sequence)
      Site.putEntry(First, "ready", Sequence, "umea-a",
                    Milliseconds(10 * Sequence));
  }

  /// @brief Makes the store go back while no VM calls it.
  void restore(std::uint64_t GivenOut = 0) {
    Site.setStoreDown(true);
    std::this_thread::sleep_for(Milliseconds(200));
    Site.restoreCopy(GivenOut);
    Site.setStoreDown(false);
  }

  [[nodiscard]] adapter::SiteSettings settings() const {
    return Site.settingsWithRetries("vm1");
  }

  /// @brief Makes the first two replicas reject all requests, so that a third
  /// one gets them if it is known.
  void rejectOthers() {
    for (FakeSite::Replica *Each : {&First, &Second})
      Each->Answer = [](const http::Request &) {
        http::Response Answer;
        Answer.Status = 503;
        Answer.Headers = {{.Name = "X-Not-Executed", .Value = "busy"}};
        return Answer;
      };
  }

  /// @return Whether @p Replica gets requests within ApplyBound.
  [[nodiscard]] static bool getsRequests(const RunningGateway &Vm,
                                         const FakeSite::Replica &Replica) {
    TimePoint Begun = monotonicNow();
    int Before = Replica.Arrivals;
    while (monotonicNow() < Begun + ApplyBound)
      if (Vm.ask("/s/1").Status == 200 && Replica.Arrivals != Before)
        return true;
    return false;
  }

  /// @return Whether the replica gets no request from ApplyBound on.
  [[nodiscard]] static bool isLeft(const RunningGateway &Vm,
                                   const FakeSite::Replica &Replica) {
    std::this_thread::sleep_for(ApplyBound);
    int Before = Replica.Arrivals;
    for (int I = 0; I < 30; ++I)
      (void)Vm.ask("/s/1", "id" + std::to_string(I));
    return Replica.Arrivals == Before;
  }
};

} // namespace

TEST_CASE("CONFIG: a replica that is added after the store went back is used") {
  RestoredSite Restored;
  RunningGateway Vm(Restored.settings());
  REQUIRE(Vm.awaitReady());
  Restored.writeTail();
  REQUIRE(Restored.getsRequests(Vm, Restored.First));
  std::this_thread::sleep_for(Milliseconds(1'000));
  SUBCASE("the store is still behind") { Restored.restore(); }
  SUBCASE("the revisions were given out again") {
    Restored.restore(GivenOutAgain);
  }
  FakeSite::Replica &Added = Restored.Site.addReplica("s0");
  Restored.rejectOthers();
  CHECK(Restored.getsRequests(Vm, Added));
}

TEST_CASE("DRAIN: a replica that leaves after the store went back gets "
          "nothing") {
  RestoredSite Restored;
  RunningGateway Vm(Restored.settings());
  REQUIRE(Vm.awaitReady());
  Restored.writeTail();
  REQUIRE(Restored.getsRequests(Vm, Restored.First));
  std::this_thread::sleep_for(Milliseconds(1'000));
  Restored.restore();
  Restored.Site.putEntry(Restored.First, "draining", 20);
  CHECK(Restored.isLeft(Vm, Restored.First));
}

TEST_CASE("CONFIG: a VM whose calls all succeed while the store goes back "
          "misses no change") {
  // Guards against a watch from a revision that the store has given out again.
  RestoredSite Restored;
  RunningGateway Vm(Restored.settings());
  REQUIRE(Vm.awaitReady());
  Restored.writeTail();
  std::this_thread::sleep_for(Milliseconds(1'000));
  // The answer to the watch begins a pause between two calls.
  Restored.Site.putEntry(Restored.First, "ready", 12);
  std::this_thread::sleep_for(WithinPause);
  Restored.Site.restoreCopy();
  Restored.Site.putEntry(Restored.Second, "draining", 20);
  FakeSite::Replica &Added = Restored.Site.addReplica("s0");
  for (std::uint64_t I = 0; I < GivenOutAgain; ++I)
    Restored.Site.put("others", "o", {{"I", I}});
  CHECK(Restored.isLeft(Vm, Restored.Second));
  Restored.rejectOthers();
  CHECK(Restored.getsRequests(Vm, Added));
}
