#include "gateway/control/FollowOptions.h"

#include <algorithm>

namespace carawaypond::gateway {

namespace {

constexpr Milliseconds MinWait{50};
constexpr Milliseconds MaxAnswerTimeout{1'000};
constexpr Milliseconds FirstRetryPause{100};
/// Parts of the bound. A lost watch costs a pause, a wait and a timeout; then a
/// list, and a second one after a pause.
constexpr int WaitsPerBound = 5;
constexpr int PausesPerBound = 10;
constexpr int RetriesPerBound = 30;
/// Of the bound, in hundredths.
constexpr int MaxAgePart = 65;

/// @return The smaller one, but not too small for the system to keep.
Milliseconds shorter(Milliseconds Left, Milliseconds Right) {
  return std::max(MinWait, std::min(Left, Right));
}

} // namespace

FollowOptions FollowOptions::within(const FollowBounds &Bounds) {
  Milliseconds Wait = Bounds.Apply / WaitsPerBound;
  FollowOptions Options;
  // Together less than two heartbeats: a longer silence counts as an outage.
  Options.WatchWait = shorter(Wait, Bounds.Heartbeat * 5 / 6);
  Options.ReaderWait = shorter(Wait, Bounds.Heartbeat / 2);
  Options.AnswerPause =
      shorter(Bounds.Apply / PausesPerBound, Bounds.Heartbeat / 3);
  Options.AnswerTimeout = shorter(Wait, MaxAnswerTimeout);
  Options.ReaderTimeout = shorter(Wait, MaxAnswerTimeout / 2);
  Options.FirstRetry = shorter(Bounds.Apply / RetriesPerBound, FirstRetryPause);
  Options.MaxRetry = Options.AnswerTimeout;
  Options.MaxAge = Bounds.Apply * MaxAgePart / 100;
  return Options;
}

Milliseconds FollowOptions::idleAge() const {
  return AnswerPause + WatchWait + ReaderWait;
}

Milliseconds FollowOptions::recoveryTime() const {
  Milliseconds ReaderLost = AnswerPause + WatchWait + AnswerTimeout;
  Milliseconds ReaderDied = ReaderWait + ReaderTimeout;
  Milliseconds Noticed = std::max({ReaderLost, ReaderDied, MaxAge});
  return Noticed + RolePause + AnswerTimeout;
}

} // namespace carawaypond::gateway
