#include "coordination/records/GreatestRecords.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <functional>

using namespace carawaypond;

TEST_CASE("merging is equivalent to sorting all records") {
  bool Held = rc::check([](const std::vector<std::string> &Shards) {
    auto Wanted = *rc::gen::inRange<std::size_t>(0, 12);
    GreatestRecords Records(Wanted);
    std::vector<std::string> All;
    for (const std::string &Each : Shards) {
      Records.add(Each);
      for (std::size_t At = 0; At + 16 <= Each.size(); At += 16)
        All.push_back(Each.substr(At, 16));
    }
    std::sort(All.begin(), All.end(), std::greater<>());
    All.resize(std::min(All.size(), Wanted));
    std::string Expected;
    for (const std::string &Each : All)
      Expected += Each;
    RC_ASSERT(Records.take() == Expected);
  });
  CHECK(Held);
}

TEST_CASE("bytes compare unsigned, duplicates count, a remainder is ignored") {
  std::string High(16, '\xff');
  std::string Low(16, 'a');
  GreatestRecords Records(4);
  std::string First = Low + High + "rest";
  Records.add(First);
  Records.add(High);
  CHECK(Records.take() == High + High + Low);
}
