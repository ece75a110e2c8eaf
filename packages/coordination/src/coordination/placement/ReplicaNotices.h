#pragma once

#include "coordination/placement/ReplicaNotice.h"
#include "core/time/Time.h"

#include <optional>

namespace carawaypond {

/// @brief What one incarnation of a replica has said about itself in its
/// answers to this VM. It holds whatever the store says, or fails to say.
class ReplicaNotices {
public:
  /// @return Whether it may get requests at @p Now.
  [[nodiscard]] bool allowRequests(TimePoint Now) const {
    return !m_IsLeaving && Now >= m_PausedUntil;
  }
  /// @return Whether it has said that it leaves.
  [[nodiscard]] bool isLeaving() const { return m_IsLeaving; }
  /// @return The end of the pause that it has asked for; in the past if there
  /// is none.
  [[nodiscard]] TimePoint pausedUntil() const { return m_PausedUntil; }

  /// @return The requests per second that it takes from all VMs together;
  /// nothing if it names no limit.
  [[nodiscard]] std::optional<double> limit() const { return m_Limit; }

  /// @brief Takes in the notice of an answer that arrived at @p Now.
  /// @return Whether it changes when the replica may get requests.
  bool apply(const ReplicaNotice &Told, TimePoint Now);

private:
  bool m_IsLeaving = false;
  TimePoint m_PausedUntil;
  std::optional<double> m_Limit;
};

} // namespace carawaypond
