#include "coordination/subrequest/SubReason.h"

#include <doctest/doctest.h>

using namespace carawaypond;

TEST_CASE("every reason's word reads back as the reason") {
  for (int I = 0; I <= static_cast<int>(SubReason::NoSnapshot); ++I) {
    auto Reason = static_cast<SubReason>(I);
    CHECK(reasonOfWord(wordOf(Reason)) == Reason);
  }
}

TEST_CASE("an unknown word is no reason") { CHECK(!reasonOfWord("tired")); }
