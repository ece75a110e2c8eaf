#include "coordination/refusal/RetryAdvice.h"

#include <doctest/doctest.h>

#include <functional>
#include <map>
#include <vector>

using namespace carawaypond;

namespace {

constexpr TimePoint Start{std::chrono::hours(1)};
constexpr Milliseconds Patience{900};

/// @brief Result of one replay of a burst.
struct ReplayResult {
  int Served = 0;
  int Lost = 0; ///< Refused twice, or served too late.
};

using Advice = std::function<Milliseconds(Milliseconds Left, TimePoint Now)>;

/// @brief Simulates a burst of requests to a server with a bounded queue. A
/// refused caller retries once, after the delay that it was given.
class Burst {
public:
  static constexpr Milliseconds Work{10};
  static constexpr int QueueLength = 6;

  std::function<void(TimePoint)> OnServed = [](TimePoint) {};

  ReplayResult play(const Advice &RetryAfter) {
    for (int I = 0; I < 50; ++I) // half of the capacity
      m_Arrivals.emplace(Start + Milliseconds(20 * I), firstTry(20 * I));
    for (int I = 0; I < 90; ++I) // three times the capacity
      m_Arrivals.emplace(Start + Milliseconds(1'000) + Work * I / 3,
                         firstTry(1'000 + 10 * I / 3));
    while (!m_Arrivals.empty())
      step(RetryAfter);
    return m_Result;
  }

private:
  struct Caller {
    TimePoint GivesUpAt;
    bool HasRetried = false;
  };

  static Caller firstTry(int AfterMillis) {
    return {.GivesUpAt = Start + Milliseconds(AfterMillis) + Patience};
  }

  void step(const Advice &RetryAfter) {
    auto [Now, Who] = *m_Arrivals.begin();
    m_Arrivals.erase(m_Arrivals.begin());
    m_FreeAt = std::max(m_FreeAt, Now);
    if (m_FreeAt - Now < Work * QueueLength) {
      m_FreeAt += Work;
      OnServed(m_FreeAt);
      ++(m_FreeAt <= Who.GivesUpAt ? m_Result.Served : m_Result.Lost);
      return;
    }
    if (Who.HasRetried) {
      ++m_Result.Lost;
      return;
    }
    auto Left = std::chrono::duration_cast<Milliseconds>(Who.GivesUpAt - Now);
    Milliseconds Pause = RetryAfter(Left, Now);
    m_Arrivals.emplace(Now + std::min(Pause, Left / 3),
                       Caller{.GivesUpAt = Who.GivesUpAt, .HasRetried = true});
  }

  std::multimap<TimePoint, Caller> m_Arrivals;
  TimePoint m_FreeAt = Start;
  ReplayResult m_Result;
};

ReplayResult playConstant(Milliseconds Pause) {
  Burst Load;
  return Load.play([Pause](Milliseconds, TimePoint) { return Pause; });
}

ReplayResult playAdvice() {
  RetryAdvice Advised;
  Burst Load;
  Load.OnServed = [&](TimePoint At) { Advised.onServed(At); };
  return Load.play([&](Milliseconds Left, TimePoint Now) {
    return Advised.retryAfter(RefusalReason::ReplicasBusy, Left,
                              Burst::Work * Burst::QueueLength, Now);
  });
}

} // namespace

TEST_CASE("after a burst, callers with spaced retries lose fewer requests than "
          "callers that retry after a constant delay") {
  ReplayResult AtOnce = playConstant(Milliseconds(20));
  ReplayResult Constant = playConstant(Milliseconds(150));
  ReplayResult Advised = playAdvice();
  MESSAGE("served and lost: at once " << AtOnce.Served << " " << AtOnce.Lost
                                      << ", after 150 ms " << Constant.Served
                                      << " " << Constant.Lost << ", advised "
                                      << Advised.Served << " " << Advised.Lost);
  CHECK(Advised.Lost < Constant.Lost);
  CHECK(Advised.Lost < AtOnce.Lost);
}

TEST_CASE("without a replica or a configuration the caller gets the longest "
          "delay that it will wait") {
  RetryAdvice Advised;
  for (auto Why : {RefusalReason::NoReplica, RefusalReason::NotReady})
    CHECK(Advised.retryAfter(Why, Patience, Duration(0), Start) ==
          Milliseconds(300));
}

TEST_CASE("a leaving VM has its callers retry at once") {
  RetryAdvice Advised;
  CHECK(Advised.retryAfter(RefusalReason::Leaving, Patience, Duration(0),
                           Start) == RetryAdviceOptions().ImmediateDelay);
}

TEST_CASE("no caller is told to wait longer than it is willing to") {
  RetryAdvice Advised;
  for (int I = 0; I < 500; ++I)
    CHECK(Advised.retryAfter(RefusalReason::ReplicasBusy, Patience,
                             std::chrono::seconds(5),
                             Start) <= Milliseconds(300));
}

TEST_CASE("the served rate follows the served requests and decays") {
  RetryAdvice Advised;
  for (int I = 0; I < 500; ++I)
    Advised.onServed(Start + Milliseconds(10 * I));
  TimePoint Last = Start + Milliseconds(5'000);
  CHECK(Advised.servedPerSecond(Last) == doctest::Approx(100).epsilon(0.1));
  CHECK(Advised.servedPerSecond(Last + std::chrono::seconds(10)) < 1);
}
