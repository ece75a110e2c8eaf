#include "peer/link/RunTable.h"
#include "peer/link/Backoff.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>

using namespace carawaypond;
using namespace carawaypond::peer;

namespace {

std::vector<PeerSubrequest> batchOf(std::uint64_t FirstId, std::size_t Count) {
  std::vector<PeerSubrequest> Batch(Count);
  for (std::size_t I = 0; I < Count; ++I)
    Batch[I].Id = SubrequestId(FirstId + I);
  return Batch;
}

} // namespace

TEST_CASE("every subrequest is reported exactly once, as a result or as lost") {
  bool Held = rc::check([] {
    RunTable Table;
    std::map<SubrequestId, int> Ends;
    RunObserver Observer{
        .OnResult = [&Ends](const PeerResult &Result) { ++Ends[Result.Id]; },
        .OnLost =
            [&Ends](const Error &, const auto &Ids) {
              for (const SubrequestId &Id : Ids)
                ++Ends[Id];
            }};
    TimePoint Start = monotonicNow();
    std::uint64_t NextId = 0;
    RunTable::RunNumber Latest = 0;
    for (int Step :
         *rc::gen::container<std::vector<int>>(40, rc::gen::inRange(0, 8))) {
      if (Step < 2) {
        auto Count = *rc::gen::inRange<std::size_t>(0, 5);
        Latest = Table.add(batchOf(NextId, Count), Start + Milliseconds(NextId),
                           Observer);
        NextId += Count;
      } else if (Step < 6) {
        PeerResult Result;
        Result.Id = SubrequestId(*rc::gen::inRange<std::uint64_t>(0, 40));
        Table.deliver(Result);
      } else if (Step == 6) {
        Table.fail(Latest, {});
      } else {
        Table.expire(Start + Milliseconds(NextId / 2));
      }
    }
    Table.failAll({});
    RC_ASSERT(Table.outstanding() == 0U);
    RC_ASSERT(Ends.size() == NextId);
    for (const auto &[Id, Count] : Ends)
      RC_ASSERT(Count == 1);
  });
  CHECK(Held);
}

TEST_CASE("a backoff grows to its maximum, with jitter, and can be reset") {
  std::mt19937_64 Random(1);
  Backoff Wait(Milliseconds(10), Milliseconds(40));
  for (int Step : {10, 20, 40, 40}) {
    Duration Next = Wait.next(Random);
    CHECK(Next >= Milliseconds(Step) / 2);
    CHECK(Next <= Milliseconds(Step));
  }
  Wait.reset();
  CHECK(Wait.next(Random) <= Milliseconds(10));
}
