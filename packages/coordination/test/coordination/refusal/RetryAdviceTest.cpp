#include "coordination/refusal/RetryAdvice.h"

#include <doctest/doctest.h>

#include <functional>
#include <map>
#include <vector>

using namespace carawaypond;

namespace {

constexpr TimePoint Start{std::chrono::hours(1)};
constexpr Milliseconds Patience{900};

/// @brief How one replay of a burst went.
struct Replayed {
  int Served = 0;
  int Lost = 0; ///< Refused twice, or served too late.
};

using Advice = std::function<Milliseconds(Milliseconds Left, TimePoint Now)>;

/// @brief A server with a bounded line that gets a burst. Its callers ask again
/// once, when they were told to.
class Burst {
public:
  static constexpr Milliseconds Work{10};
  static constexpr int LineLength = 6;

  std::function<void(TimePoint)> OnServed = [](TimePoint) {};

  Replayed play(const Advice &RetryAfter) {
    for (int I = 0; I < 50; ++I) // half of what it can serve
      m_Arrivals.emplace(Start + Milliseconds(20 * I), firstTry(20 * I));
    for (int I = 0; I < 90; ++I) // three times what it can serve
      m_Arrivals.emplace(Start + Milliseconds(1'000) + Work * I / 3,
                         firstTry(1'000 + 10 * I / 3));
    while (!m_Arrivals.empty())
      step(RetryAfter);
    return m_Result;
  }

private:
  struct Caller {
    TimePoint GivesUpAt;
    bool HasReturned = false;
  };

  static Caller firstTry(int AfterMillis) {
    return {.GivesUpAt = Start + Milliseconds(AfterMillis) + Patience};
  }

  void step(const Advice &RetryAfter) {
    auto [Now, Who] = *m_Arrivals.begin();
    m_Arrivals.erase(m_Arrivals.begin());
    m_FreeAt = std::max(m_FreeAt, Now);
    if (m_FreeAt - Now < Work * LineLength) {
      m_FreeAt += Work;
      OnServed(m_FreeAt);
      ++(m_FreeAt <= Who.GivesUpAt ? m_Result.Served : m_Result.Lost);
      return;
    }
    if (Who.HasReturned) {
      ++m_Result.Lost;
      return;
    }
    auto Left = std::chrono::duration_cast<Milliseconds>(Who.GivesUpAt - Now);
    Milliseconds Pause = RetryAfter(Left, Now);
    m_Arrivals.emplace(Now + std::min(Pause, Left / 3),
                       Caller{.GivesUpAt = Who.GivesUpAt, .HasReturned = true});
  }

  std::multimap<TimePoint, Caller> m_Arrivals;
  TimePoint m_FreeAt = Start;
  Replayed m_Result;
};

Replayed playConstant(Milliseconds Pause) {
  Burst Load;
  return Load.play([Pause](Milliseconds, TimePoint) { return Pause; });
}

Replayed playAdvice() {
  RetryAdvice Advised;
  Burst Load;
  Load.OnServed = [&](TimePoint At) { Advised.onServed(At); };
  return Load.play([&](Milliseconds Left, TimePoint Now) {
    return Advised.retryAfter(RefusalReason::ReplicasBusy, Left,
                              Burst::Work * Burst::LineLength, Now);
  });
}

} // namespace

TEST_CASE("a burst: callers that return one by one lose less than callers that "
          "return after a constant pause") {
  Replayed AtOnce = playConstant(Milliseconds(20));
  Replayed Constant = playConstant(Milliseconds(150));
  Replayed Advised = playAdvice();
  MESSAGE("served and lost: at once " << AtOnce.Served << " " << AtOnce.Lost
                                      << ", after 150 ms " << Constant.Served
                                      << " " << Constant.Lost << ", advised "
                                      << Advised.Served << " " << Advised.Lost);
  CHECK(Advised.Lost < Constant.Lost);
  CHECK(Advised.Lost < AtOnce.Lost);
}

TEST_CASE("without a replica or a configuration the caller gets the longest "
          "pause that it will wait") {
  RetryAdvice Advised;
  for (auto Why : {RefusalReason::NoReplica, RefusalReason::NotReady})
    CHECK(Advised.retryAfter(Why, Patience, Duration(0), Start) ==
          Milliseconds(300));
}

TEST_CASE("a VM that leaves sends its callers on at once") {
  RetryAdvice Advised;
  CHECK(Advised.retryAfter(RefusalReason::Leaving, Patience, Duration(0),
                           Start) == RetryAdviceOptions().AtOnce);
}

TEST_CASE("no caller is told to wait longer than it will") {
  RetryAdvice Advised;
  for (int I = 0; I < 500; ++I)
    CHECK(Advised.retryAfter(RefusalReason::ReplicasBusy, Patience,
                             std::chrono::seconds(5),
                             Start) <= Milliseconds(300));
}

TEST_CASE("the served rate follows what is served and fades") {
  RetryAdvice Advised;
  for (int I = 0; I < 500; ++I)
    Advised.onServed(Start + Milliseconds(10 * I));
  TimePoint Last = Start + Milliseconds(5'000);
  CHECK(Advised.servedPerSecond(Last) == doctest::Approx(100).epsilon(0.1));
  CHECK(Advised.servedPerSecond(Last + std::chrono::seconds(10)) < 1);
}
