#include "coordination/drain/SendGate.h"
#include "coordination/drain/ServerDrains.h"
#include "coordination/drain/VmDrain.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>

using namespace carawaypond;

namespace {

constexpr TimePoint Start{std::chrono::hours(1)};
constexpr Milliseconds Second(1000);
const ServerName Server("s-1");

ServerDrains makeDrains(const char *Self) {
  return ServerDrains(
      {.Self = VmName(Self), .IncarnationNumber = Incarnation(1)});
}

Digest digestOf(ServerDrains &Drains, bool Full, TimePoint Now) {
  Digest Out;
  Drains.fill(Out, Full, Now);
  return Out;
}

} // namespace

TEST_CASE("a drain status takes effect at once on its VM and on others") {
  ServerDrains One = makeDrains("a");
  ServerDrains Two = makeDrains("b");
  One.observe(Server, true, Start);
  CHECK(One.isDraining(Server, Start));
  Two.take(digestOf(One, false, Start).Drains, Start + Second);
  CHECK(Two.isDraining(Server, Start + Second));
  CHECK(Two.draining(Start + Second).size() == 1);
}

TEST_CASE(
    "a drain status ends by age or by its own VM, in any order of arrival") {
  ServerDrains One = makeDrains("a");
  ServerDrains Two = makeDrains("b");
  One.observe(Server, true, Start);
  Digest Old = digestOf(One, true, Start);
  Two.take(Old.Drains, Start);
  Two.observe(Server, false, Start);
  CHECK(Two.isDraining(Server, Start));
  CHECK(!Two.isDraining(Server, Start + 31 * Second));
  One.observe(Server, false, Start + Second);
  Two.take(digestOf(One, true, Start + Second).Drains, Start + Second);
  Two.take(Old.Drains, Start + Second);
  CHECK(!Two.isDraining(Server, Start + Second));
}

TEST_CASE(
    "drain statuses in a digest are bounded, and cover all servers in turn") {
  ServerDrains One = makeDrains("a");
  for (int I = 0; I < 200; ++I)
    One.observe(ServerName("s-" + std::to_string(I)), true, Start);
  ServerDrains Two = makeDrains("b");
  for (int I = 0; I < 5; ++I) {
    Digest Out = digestOf(One, false, Start);
    CHECK(Out.Drains.size() <= 64);
    Two.take(Out.Drains, Start);
  }
  CHECK(Two.draining(Start).size() == 200);
  One.tick(Start + 60 * Second);
  CHECK(One.draining(Start).empty());
}

TEST_CASE("a VM that was paused sends nothing until other VMs have answered") {
  SendGate Gate;
  CHECK(!Gate.maySend(Start));
  Gate.onHeard(Start);
  CHECK(Gate.maySend(Start + SendGate::Bound));
  CHECK(!Gate.maySend(Start + 10 * Second));
  Gate.onHeard(Start + 10 * Second);
  CHECK(Gate.maySend(Start + 10 * Second));
}

TEST_CASE("a stop waits for old address answers, then for work in flight") {
  CHECK(rc::check([] {
    VmDrain Stop({});
    Stop.onReady();
    RC_ASSERT(Stop.begin(Start) ==
              std::vector<VmDrainAction>{VmDrainAction::Announce});
    RC_ASSERT(Stop.begin(Start).empty());
    RC_ASSERT(!Stop.isAdvertised());
    TimePoint Now = Start;
    while (Stop.phase() != VmPhase::Done) {
      Now += Milliseconds(*rc::gen::inRange(0, 2000));
      std::size_t InFlight = *rc::gen::inRange<std::size_t>(0, 3);
      std::vector<VmDrainAction> Actions = Stop.tick(InFlight, Now);
      bool Exits =
          std::count(Actions.begin(), Actions.end(), VmDrainAction::Exit) > 0;
      RC_ASSERT(Exits == (InFlight == 0 && Now >= Start + 7 * Second));
      RC_ASSERT(Stop.takesQueries() == (Now < Start + 7 * Second));
      if (*rc::gen::inRange(0, 100) == 0)
        Now += 10 * Second;
    }
  }));
}
