#include "coordination/queue/ClassScheduler.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <vector>

using namespace carawaypond;

namespace {

const TimePoint Start{std::chrono::hours(1)};
const ClassName Interactive("interactive");
const ClassName Sweep("sweep");

bool always(SubrequestId /*Id*/) { return true; }

ClassScheduler makeScheduler() {
  return ClassScheduler(
      {{.Name = Interactive, .Share = 0.8}, {.Name = Sweep, .Share = 0.2}});
}

} // namespace

TEST_CASE("one class is served in the order of deadlines") {
  CHECK(rc::check([](const std::vector<std::uint16_t> &Deadlines) {
    ClassScheduler Scheduler = makeScheduler();
    for (std::size_t I = 0; I < Deadlines.size(); ++I)
      Scheduler.push(Interactive, Start + Milliseconds(Deadlines[I]),
                     SubrequestId(I));
    std::uint16_t Last = 0;
    while (auto Id = Scheduler.popFirst(always)) {
      RC_ASSERT(Deadlines[Id->value()] >= Last);
      Last = Deadlines[Id->value()];
    }
    RC_ASSERT(Scheduler.size() == 0U);
  }));
}

TEST_CASE("a class with earlier deadlines can't starve another class") {
  ClassScheduler Scheduler = makeScheduler();
  constexpr std::uint64_t Each = 1000;
  for (std::uint64_t I = 0; I < Each; ++I) {
    Scheduler.push(Sweep, Start, SubrequestId(I));
    Scheduler.push(Interactive, Start + std::chrono::seconds(1),
                   SubrequestId(Each + I));
  }
  std::uint64_t FromInteractive = 0;
  for (int I = 0; I < 500; ++I)
    if (Scheduler.popFirst(always)->value() >= Each)
      ++FromInteractive;
  CHECK(FromInteractive >= 380);
}

TEST_CASE("a class uses the share that the other class leaves idle") {
  ClassScheduler Scheduler = makeScheduler();
  for (std::uint64_t I = 0; I < 100; ++I)
    Scheduler.push(Sweep, Start, SubrequestId(I));
  for (int I = 0; I < 100; ++I)
    CHECK(Scheduler.popFirst(always));
}

TEST_CASE("a subrequest that can't be sent is skipped") {
  ClassScheduler Scheduler = makeScheduler();
  Scheduler.push(Interactive, Start, SubrequestId(1));
  Scheduler.push(Interactive, Start + Milliseconds(1), SubrequestId(2));
  auto Popped =
      Scheduler.popFirst([](SubrequestId Id) { return Id == SubrequestId(2); });
  CHECK(Popped == SubrequestId(2));
  CHECK(Scheduler.size() == 1);
}
