#pragma once

#include "core/time/Time.h"

#include <optional>

namespace carawaypond::gateway {

/// @brief Bounds that the waits on the way from the store to a VM must respect.
struct FollowBounds {
  /// Maximum time from a change in the store to the last request that is
  /// handled without it.
  Milliseconds Apply{3'000};
  /// Interval at which a replica rewrites its entry in the store.
  Milliseconds HeartbeatInterval{1'200};
  /// Maximum age of the proof that the configuration in force is the newest
  /// one; nothing if no such proof is needed.
  std::optional<Milliseconds> ProofLifetime;
};

/// @brief Waits, timeouts and retry backoff for following the store, directly
/// or through another VM.
struct FollowOptions {
  /// Long-poll wait of a store watch. Also bounds the time to detect a
  /// connection that has gone silent.
  Milliseconds WatchWait{};
  /// Long-poll wait of a watch of the configuration. Its answer proves what was
  /// the newest version as the watch began.
  Milliseconds ProofWait{};
  /// Time allowed for a store answer; for a watch, on top of WatchWait.
  Milliseconds AnswerTimeout{};
  /// Pause between an answer and the next watch; changes in between are batched
  /// into one answer.
  Milliseconds AnswerPause{};
  /// Backoff after the first failed call; doubles on each failure up to
  /// MaxRetry.
  Milliseconds FirstRetry{};
  Milliseconds MaxRetry{};
  /// Long-poll wait of a call to the VM that reads the store.
  Milliseconds ReaderWait{};
  /// Time allowed for that VM's answer, on top of ReaderWait.
  Milliseconds ReaderTimeout{};
  /// Maximum age of the data from that VM before this VM reads the store
  /// itself.
  Milliseconds MaxAge{};
  /// Interval at which this VM checks which VM reads the store.
  Milliseconds RolePause{120};
  /// Interval at which the other VMs' records are read.
  Milliseconds RegistryInterval{60'000};
  /// How long the record of a VM that is not heard stays in the store.
  Milliseconds RecordRetention{600'000};

  /// @return Waits whose sum on every path from the store to a VM stays below
  /// @p Bounds.
  [[nodiscard]] static FollowOptions within(const FollowBounds &Bounds);
  /// @return The maximum age of this VM's data while nothing fails.
  [[nodiscard]] Milliseconds idleAge() const;
  /// @return The maximum age of the proof of this VM's configuration while
  /// nothing fails.
  [[nodiscard]] Milliseconds idleProofAge() const;
  /// @return The maximum time until a VM has listed the store after the VM that
  /// it follows lost the store, died or fell behind.
  [[nodiscard]] Milliseconds recoveryTime() const;
};

} // namespace carawaypond::gateway
