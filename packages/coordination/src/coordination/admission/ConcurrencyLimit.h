#pragma once

#include "core/time/Time.h"

#include <cstdint>

namespace carawaypond {

/// @brief Adaptive limit on concurrent queries, by additive increase and
/// multiplicative decrease (AIMD). It falls while queries miss their deadlines,
/// faster if more of them do, and rises while queries near the limit meet their
/// deadlines.
class ConcurrencyLimit {
public:
  /// @param Max The configured limit, also the initial value.
  explicit ConcurrencyLimit(std::uint32_t Max);

  /// @return The present limit: at least 1, at most the configured limit.
  [[nodiscard]] std::uint32_t current() const;

  /// @brief Records how a query ended.
  /// @param InUse The number of running queries, this one included.
  void noteFinished(bool MetDeadline, std::uint32_t InUse, TimePoint Now);
  /// @brief Replaces the configured limit.
  void setMax(std::uint32_t Max);

private:
  void endInterval(TimePoint Now);

  double m_Max = 1;
  double m_Current = 1;
  std::uint32_t m_Met = 0;    ///< In this interval.
  std::uint32_t m_Missed = 0; ///< In this interval.
  TimePoint m_IntervalStart{};
};

} // namespace carawaypond
