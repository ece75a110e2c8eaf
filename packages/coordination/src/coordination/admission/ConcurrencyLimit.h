#pragma once

#include "core/time/Time.h"

#include <cstdint>

namespace carawaypond {

/// @brief How many queries can run at once and still meet their deadlines,
/// found by additive increase and multiplicative decrease: it falls while
/// queries miss their deadlines, the faster the more of them do, and rises
/// while they meet them at the limit.
class ConcurrencyLimit {
public:
  /// @param Max The configured limit, where it starts.
  explicit ConcurrencyLimit(std::uint32_t Max);

  /// @return At least one, at most the configured limit.
  [[nodiscard]] std::uint32_t current() const;

  /// @brief Notes how a query ended.
  /// @param InUse Queries that ran at the time, this one included.
  void noteFinished(bool MetDeadline, std::uint32_t InUse, TimePoint Now);
  /// @brief Takes another configured limit.
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
