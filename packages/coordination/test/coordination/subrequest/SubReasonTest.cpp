#include "coordination/subrequest/SubReason.h"

#include <doctest/doctest.h>

using namespace carawaypond;

TEST_CASE("every reason is parsed back from its name on the wire") {
  for (int I = 0; I <= static_cast<int>(SubReason::NoSnapshot); ++I) {
    auto Reason = static_cast<SubReason>(I);
    CHECK(parseSubReason(wireNameOf(Reason)) == Reason);
  }
}

TEST_CASE("an unknown name is not a reason") {
  CHECK(!parseSubReason("tired"));
}
