#include "backends/run/RunQueue.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <set>

using namespace carawaypond;
using namespace carawaypond::standins;

namespace {

constexpr WallMillis Now{1'000};
constexpr WallMillis Later{2'000};

} // namespace

TEST_CASE("slots fill, then the queue, then subrequests are shed") {
  RunQueue Queue({.Slots = 1, .QueueLimit = 1});
  CHECK(Queue.submit("a", Later, Now) == Admission::Started);
  CHECK(Queue.submit("b", Later, Now) == Admission::Queued);
  CHECK(Queue.submit("c", Later, Now) == Admission::Shed);
  std::vector<NextRun> Next = Queue.finish("a", Now);
  REQUIRE(Next.size() == 1);
  CHECK(Next[0].Id == "b");
  CHECK_FALSE(Next[0].Expired);
}

TEST_CASE("a subrequest past its deadline does not start") {
  RunQueue Queue({.Slots = 1, .QueueLimit = 2});
  CHECK(Queue.submit("a", Now, Now) == Admission::Expired);
  Queue.submit("b", Later, Now);
  Queue.submit("c", WallMillis{1'500}, Now);
  Queue.submit("d", WallMillis{3'000}, Now);
  std::vector<NextRun> Next = Queue.finish("b", WallMillis{1'500});
  REQUIRE(Next.size() == 2);
  CHECK(Next[0].Expired);
  CHECK(Next[1].Id == "d");
  CHECK_FALSE(Next[1].Expired);
}

TEST_CASE("a subrequest cancelled before its start never runs") {
  RunQueue Queue({.Slots = 1, .QueueLimit = 1});
  Queue.submit("a", Later, Now);
  Queue.submit("b", Later, Now);
  CHECK(Queue.cancel("b") == CancelState::NotStarted);
  CHECK(Queue.finish("a", Now).empty());
  CHECK(Queue.submit("b", Later, Now) == Admission::Cancelled);
  CHECK(Queue.cancel("b") == CancelState::NotStarted);
}

TEST_CASE("a cancellation returns the state of the subrequest") {
  RunQueue Queue({.Slots = 1});
  CHECK(Queue.cancel("a") == CancelState::Unknown);
  Queue.submit("a", Later, Now);
  CHECK(Queue.cancel("a") == CancelState::Running);
  Queue.finish("a", Now);
  CHECK(Queue.cancel("a") == CancelState::Done);
  CHECK(Queue.submit("a", Later, Now) == Admission::Repeated);
}

TEST_CASE("nothing runs twice, nor more than the slots at once") {
  bool Held = rc::check([](std::vector<std::uint8_t> Draws) {
    RunQueue Queue({.Slots = 2, .QueueLimit = 3, .RememberedIds = 1'000});
    std::set<std::string> Running;
    std::set<std::string> Ran;
    for (std::uint8_t Draw : Draws) {
      std::string Id = std::to_string(Draw % 16);
      if (Draw < 150) {
        if (Queue.submit(Id, Later, Now) == Admission::Started)
          RC_ASSERT(Ran.insert(Id).second && Running.insert(Id).second);
      } else if (Draw < 200) {
        if (Queue.cancel(Id) == CancelState::NotStarted)
          RC_ASSERT(!Running.contains(Id) && !Ran.contains(Id));
      } else if (!Running.empty()) {
        std::string Done = *Running.begin();
        Running.erase(Running.begin());
        for (const NextRun &Next : Queue.finish(Done, Now))
          RC_ASSERT(Ran.insert(Next.Id).second &&
                    Running.insert(Next.Id).second);
      }
      RC_ASSERT(Running.size() == Queue.running());
      RC_ASSERT(Running.size() <= 2U);
    }
  });
  CHECK(Held);
}
