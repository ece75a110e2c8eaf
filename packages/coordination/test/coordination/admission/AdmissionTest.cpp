#include "coordination/admission/AdmissionControl.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <functional>
#include <queue>
#include <vector>

using namespace carawaypond;

namespace {

const TimePoint Start{std::chrono::hours(1)};
const ClassName Interactive("interactive");
const ClassName Sweep("sweep");

AdmissionOptions makeOptions(std::uint32_t Limit) {
  return {.ConcurrentQueries = Limit,
          .Classes = {{.Name = Interactive, .Share = 0.8},
                      {.Name = Sweep, .Share = 0.2}}};
}

bool admits(AdmissionControl &Control, const ClassName &Class, TimePoint Now) {
  return std::holds_alternative<Admitted>(
      Control.admit(Class, Now + Milliseconds(110), Now));
}

std::uint32_t admitAll(AdmissionControl &Control, const ClassName &Class,
                       TimePoint Now) {
  std::uint32_t Count = 0;
  while (admits(Control, Class, Now))
    ++Count;
  return Count;
}

} // namespace

TEST_CASE("queries never exceed the limit") {
  CHECK(rc::check([](const std::vector<std::uint8_t> &Events) {
    AdmissionControl Control(makeOptions(10));
    std::vector<ClassName> Running;
    for (std::uint8_t Event : Events) {
      const ClassName &Class = Event % 2 == 0 ? Interactive : Sweep;
      if (Event % 3 != 0) {
        if (admits(Control, Class, Start))
          Running.push_back(Class);
      } else if (!Running.empty()) {
        Control.finished(Running.back(), Event % 5 != 0, Start);
        Running.pop_back();
      }
      RC_ASSERT(Running.size() <= 10U);
      RC_ASSERT(Control.inUse() == Running.size());
    }
  }));
}

TEST_CASE("a class uses idle capacity of others, and gets no more when they "
          "need it") {
  AdmissionControl Control(makeOptions(100));
  CHECK(admitAll(Control, Sweep, Start) == 100);
  CHECK(!admits(Control, Interactive, Start));
  for (int I = 0; I < 50; ++I)
    Control.finished(Sweep, true, Start);
  CHECK(!admits(Control, Sweep, Start));
  CHECK(admitAll(Control, Interactive, Start) == 50);
}

TEST_CASE("a query that would wait past its deadline is refused") {
  AdmissionControl Control(makeOptions(100));
  REQUIRE(admits(Control, Interactive, Start));
  Control.noteExpectedWait(Milliseconds(150), Start);
  CHECK(!admits(Control, Interactive, Start));
  CHECK(admits(Control, Interactive, Start + Milliseconds(200)));
}

TEST_CASE("goodput stays constant up to three times the capacity") {
  // Ten workers take 10 ms per query, 1000 queries per second in total. Goodput
  // counts the queries that end within 110 ms.
  constexpr int Workers = 10;
  auto GoodputAt = [](int OfferedPerSecond) {
    AdmissionControl Control(makeOptions(400));
    std::priority_queue<TimePoint, std::vector<TimePoint>, std::greater<>>
        FreeAt;
    for (int I = 0; I < Workers; ++I)
      FreeAt.push(Start);
    std::priority_queue<std::pair<TimePoint, bool>,
                        std::vector<std::pair<TimePoint, bool>>, std::greater<>>
        Ends;
    int Good = 0;
    for (int I = 0; I < 5 * OfferedPerSecond; ++I) {
      TimePoint Now = Start + Microseconds(1'000'000) * I / OfferedPerSecond;
      for (; !Ends.empty() && Ends.top().first <= Now; Ends.pop()) {
        Control.finished(Interactive, Ends.top().second, Ends.top().first);
        Good += Ends.top().second ? 1 : 0;
      }
      if (!admits(Control, Interactive, Now))
        continue;
      TimePoint Begin = std::max(FreeAt.top(), Now);
      FreeAt.pop();
      TimePoint End = Begin + Milliseconds(10);
      FreeAt.push(End);
      Ends.emplace(End, End - Now <= Milliseconds(110));
    }
    return Good / 5;
  };
  int AtCapacity = GoodputAt(1000);
  CHECK(AtCapacity > 950);
  CHECK(GoodputAt(2000) > AtCapacity * 9 / 10);
  CHECK(GoodputAt(3000) > AtCapacity * 9 / 10);
}
