#include "gateway/pool/RecentIds.h"

#include <doctest/doctest.h>

#include <string>

using namespace carawaypond::gateway;

TEST_CASE("the latest ids are kept, and older ones forgotten") {
  RecentIds Ids;
  CHECK_FALSE(Ids.contains(""));
  for (std::size_t I = 0; I <= RecentIds::Capacity; ++I)
    Ids.add(std::to_string(I));
  CHECK_FALSE(Ids.contains("0"));
  for (std::size_t I = 1; I <= RecentIds::Capacity; ++I)
    CHECK(Ids.contains(std::to_string(I)));
  CHECK_FALSE(Ids.contains("another"));
}
