#pragma once

#include "core/time/Time.h"

namespace carawaypond::gateway {

/// @brief What the waits of those who follow the store must stay within.
struct FollowBounds {
  /// From a change in the store to the last request handled without it.
  Milliseconds Apply{3'000};
  /// Between two writes of a replica to its entry.
  Milliseconds Heartbeat{1'200};
};

/// @brief How the store is followed.
struct FollowOptions {
  /// How long a watch waits for changes; a connection that fell silent is
  /// noticed after it.
  Milliseconds WatchWait{};
  /// How much longer than that its answer may take.
  Milliseconds AnswerTimeout{};
  /// Between an answer and the next watch; changes meanwhile come in one
  /// answer.
  Milliseconds AnswerPause{};
  /// Between failed calls; doubles up to the second one.
  Milliseconds FirstRetry{};
  Milliseconds MaxRetry{};
  /// How long a VM that is followed may wait with its answer for news.
  Milliseconds ReaderWait{};
  /// How much longer than that its answer may take.
  Milliseconds ReaderTimeout{};
  /// How old what the followed VM tells may be before this VM reads the store
  /// itself.
  Milliseconds MaxAge{};
  /// Between two looks at who reads the store.
  Milliseconds RolePause{120};
  /// Between two looks at the other VMs' records.
  Milliseconds RegistryInterval{60'000};

  /// @return Waits that add up to less than @p Bounds on every way from the
  /// store to a VM.
  [[nodiscard]] static FollowOptions within(const FollowBounds &Bounds);
  /// @return The age that knowledge reaches while nothing fails, at most.
  [[nodiscard]] Milliseconds idleAge() const;
  /// @return The time until a VM has listed the store after the one that it
  /// follows lost it, died or fell behind, at most.
  [[nodiscard]] Milliseconds recoveryTime() const;
};

} // namespace carawaypond::gateway
