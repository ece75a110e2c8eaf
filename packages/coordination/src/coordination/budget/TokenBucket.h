#pragma once

#include "core/time/Time.h"

namespace carawaypond {

/// @brief Limits a rate: each event takes a token, and tokens come at the rate.
///
/// Holds one token and those of BurstSeconds at most.
class TokenBucket {
public:
  /// Seconds for which tokens that are not taken are kept, besides the first
  /// one.
  static constexpr double BurstSeconds = 0.5;

  /// @param Tokens At first; negative to delay the first event.
  TokenBucket(double PerSecond, double Tokens, TimePoint Now)
      : m_PerSecond(PerSecond), m_Tokens(Tokens), m_UpdatedAt(Now) {}

  /// @return The tokens that may be taken; negative if too many were.
  [[nodiscard]] double available(TimePoint Now) const;
  /// @return How long until one token may be taken.
  [[nodiscard]] Duration untilNext(TimePoint Now) const;

  void setRate(double PerSecond, TimePoint Now);
  /// @brief Takes a token, also if none is available.
  void take(TimePoint Now) { add(-1, Now); }
  /// @brief Returns a token whose event did not happen.
  void giveBack(TimePoint Now) { add(1, Now); }

private:
  void add(double Tokens, TimePoint Now);

  double m_PerSecond;
  double m_Tokens; ///< At m_UpdatedAt.
  TimePoint m_UpdatedAt;
};

} // namespace carawaypond
