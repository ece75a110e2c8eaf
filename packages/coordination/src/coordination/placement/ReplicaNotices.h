#pragma once

#include "coordination/budget/RotatingTokens.h"
#include "coordination/budget/TokenBucket.h"
#include "coordination/placement/LimitShare.h"
#include "coordination/placement/ReplicaNotice.h"
#include "core/time/Time.h"

#include <optional>
#include <variant>

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
  /// @return Whether its limit, if it names one, leaves this VM a request now,
  /// and @p Reserve more.
  [[nodiscard]] bool hasRoom(TimePoint Now, double Reserve = 0) const;
  /// @return How long until its pause and its limit allow a request.
  [[nodiscard]] Duration untilAllowed(TimePoint Now) const;
  /// @return The requests per second that it takes from all VMs together;
  /// nothing if it names no limit.
  [[nodiscard]] std::optional<double> limit() const { return m_Limit; }

  /// @brief Takes in the notice of an answer that arrived at @p Now.
  /// @param Own This VM's share of what all VMs may send.
  /// @return Whether it changes when the replica may get requests.
  bool apply(const ReplicaNotice &Told, const LimitShare &Own, TimePoint Now);
  /// @brief Applies a changed share to the limit, if the replica names one.
  void setShare(const LimitShare &Own, TimePoint Now);
  /// @brief Counts a request against the limit.
  void onSent(TimePoint Now);
  /// @brief Takes back the count of a request of which nothing was sent.
  void onUnsent(TimePoint Now);

private:
  using Tokens = std::variant<std::monostate, TokenBucket, RotatingTokens>;

  bool applyLimit(const ReplicaNotice &Told, const LimitShare &Own,
                  TimePoint Now);
  void limitByBucket(double PerSecond, double Phase, TimePoint Now);
  void limitByRotation(double PerSecond, const LimitShare &Own, TimePoint Now);

  bool m_IsLeaving = false;
  TimePoint m_PausedUntil;
  std::optional<double> m_Limit;
  /// This VM's part of the limit; set while the replica names one.
  Tokens m_Tokens;
};

} // namespace carawaypond
