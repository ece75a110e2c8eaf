#include "gateway/control/FollowOptions.h"

#include <algorithm>

namespace carawaypond::gateway {

namespace {

constexpr Milliseconds MinWait{50};
constexpr Milliseconds MaxAnswerTimeout{1'000};
constexpr Milliseconds FirstRetryPause{100};
/// Divisors of FollowBounds::Apply. Recovery from a lost watch takes a pause, a
/// wait and a timeout, then a list, and after a pause a second list.
constexpr int WaitDivisor = 5;
constexpr int PauseDivisor = 10;
constexpr int RetryDivisor = 30;
/// Divisor of FollowBounds::ProofLifetime. A proof passes two watches, a pause
/// and a call to the reader; the rest is left to find another reader.
constexpr int ProofDivisor = 8;
/// Maximum age as a percentage of FollowBounds::Apply.
constexpr int MaxAgePercent = 65;

/// @return The smaller of the two, but at least MinWait: the system does not
/// keep shorter waits reliably.
Milliseconds shorterAboveMinimum(Milliseconds Left, Milliseconds Right) {
  return std::max(MinWait, std::min(Left, Right));
}

} // namespace

FollowOptions FollowOptions::within(const FollowBounds &Bounds) {
  Milliseconds Wait = Bounds.Apply / WaitDivisor;
  FollowOptions Options;
  // WatchWait, ReaderWait and AnswerPause add up to less than two heartbeat
  // intervals, because a longer silence is treated as an outage.
  Options.WatchWait =
      shorterAboveMinimum(Wait, Bounds.HeartbeatInterval * 5 / 6);
  Options.ProofWait = Options.WatchWait;
  if (Bounds.ProofLifetime)
    Options.ProofWait = shorterAboveMinimum(
        Options.WatchWait, *Bounds.ProofLifetime / ProofDivisor);
  Options.ReaderWait = shorterAboveMinimum(Wait, Bounds.HeartbeatInterval / 2);
  Options.AnswerPause = shorterAboveMinimum(Bounds.Apply / PauseDivisor,
                                            Bounds.HeartbeatInterval / 3);
  Options.AnswerTimeout = shorterAboveMinimum(Wait, MaxAnswerTimeout);
  Options.ReaderTimeout = shorterAboveMinimum(Wait, MaxAnswerTimeout / 2);
  Options.FirstRetry =
      shorterAboveMinimum(Bounds.Apply / RetryDivisor, FirstRetryPause);
  Options.MaxRetry = Options.AnswerTimeout;
  Options.MaxAge = Bounds.Apply * MaxAgePercent / 100;
  return Options;
}

Milliseconds FollowOptions::idleAge() const {
  return AnswerPause + WatchWait + ReaderWait;
}

Milliseconds FollowOptions::idleProofAge() const {
  return ProofWait + std::min(AnswerPause, ProofWait) + ProofWait + ReaderWait;
}

Milliseconds FollowOptions::recoveryTime() const {
  Milliseconds ReaderLost = AnswerPause + WatchWait + AnswerTimeout;
  Milliseconds ReaderDied = ReaderWait + ReaderTimeout;
  Milliseconds Noticed = std::max({ReaderLost, ReaderDied, MaxAge});
  return Noticed + RolePause + AnswerTimeout;
}

} // namespace carawaypond::gateway
