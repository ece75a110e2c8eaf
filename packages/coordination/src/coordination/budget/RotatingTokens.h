#pragma once

#include "coordination/budget/VmTurn.h"
#include "core/time/Time.h"

#include <cstdint>

namespace carawaypond {

/// @brief Limits a low rate that all VMs share: the tokens are numbered, VMs
/// get them in turn, and a token that is not taken expires.
///
/// Handles VMs that send at the same moment after they have all been idle. With
/// a TokenBucket each of them would have kept a token, however low the rate is.
/// In any time T the VMs together take PerSecond * (T + Lifetime) + 1 tokens at
/// most, if they agree on their number and on the time. Each VM gets an equal
/// part of the rate, whatever its load.
class RotatingTokens {
public:
  static constexpr Milliseconds Lifetime{4'000}; ///< Of a token.

  /// @param Epoch The time of token 0, the same moment for all VMs.
  /// @param Now The first token is the next one of this VM after it: the latest
  /// one may have been used already.
  RotatingTokens(double PerSecond, VmTurn Own, TimePoint Epoch, TimePoint Now)
      : m_PerSecond(PerSecond), m_Own(Own), m_Epoch(Epoch) {
    take(Now);
  }

  /// @return Whether this VM has a token. False with a @p Reserve, as it has
  /// one token at most.
  [[nodiscard]] bool hasRoom(TimePoint Now, double Reserve = 0) const;
  /// @return How long until this VM has a token.
  [[nodiscard]] Duration untilNext(TimePoint Now) const;

  void setRate(double PerSecond, VmTurn Own);
  /// @brief Takes this VM's latest token, also if it has expired.
  void take(TimePoint Now);
  /// @brief Returns the token that was taken last, unless it has expired.
  void giveBack(TimePoint Now);

private:
  /// @return The number of this VM's latest token.
  [[nodiscard]] std::int64_t latest(TimePoint Now) const;
  [[nodiscard]] TimePoint timeOf(std::int64_t Token) const;

  double m_PerSecond;
  VmTurn m_Own;
  TimePoint m_Epoch;
  /// Time of the latest token that was taken, and of the one before it.
  TimePoint m_Taken = TimePoint::min();
  TimePoint m_TakenBefore = TimePoint::min();
};

} // namespace carawaypond
