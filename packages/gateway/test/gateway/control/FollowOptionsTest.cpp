#include "gateway/control/FollowOptions.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace carawaypond;
using namespace carawaypond::gateway;

TEST_CASE("DRAIN: the waits between the store and a VM add up to less than the "
          "bound") {
  CHECK(rc::check([] {
    FollowBounds Bounds{.Apply = Milliseconds(*rc::gen::inRange(1'000, 60'000)),
                        .HeartbeatInterval =
                            Milliseconds(*rc::gen::inRange(300, 10'000))};
    FollowOptions Options = FollowOptions::within(Bounds);
    RC_ASSERT(Options.recoveryTime() < Bounds.Apply);
    RC_ASSERT(Options.idleAge() < Options.MaxAge);
    RC_ASSERT(Options.idleAge() < 2 * Bounds.HeartbeatInterval);
  }));
}
