#include "core/time/Time.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace carawaypond;

TEST_CASE("a deadline round-trips through the wall clock") {
  bool Held = rc::check([](std::int32_t LeftMillis) {
    TimePoint Now = monotonicNow();
    WallMillis WallNow{1'700'000'000'000};
    TimePoint Deadline = Now + Milliseconds(LeftMillis);
    WallMillis Wall = toWall(Deadline, Now, WallNow);
    RC_ASSERT(toMonotonic(Wall, Now, WallNow) == Deadline);
  });
  CHECK(Held);
}
