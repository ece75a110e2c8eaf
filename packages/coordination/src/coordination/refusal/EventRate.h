#pragma once

#include "core/time/Time.h"

#include <chrono>
#include <cmath>

namespace carawaypond {

/// @brief The recent rate of events, as an exponentially decaying average.
class EventRate {
public:
  /// @param Memory Time constant of the average.
  explicit EventRate(std::chrono::duration<double> Memory)
      : m_Seconds(Memory.count()) {}

  /// @return Events per second.
  [[nodiscard]] double perSecond(TimePoint Now) const {
    std::chrono::duration<double> Age = Now - m_At;
    return m_Rate * std::exp(-Age.count() / m_Seconds);
  }

  /// @brief Counts one event.
  void add(TimePoint Now) {
    m_Rate = perSecond(Now) + 1 / m_Seconds;
    m_At = Now;
  }

private:
  double m_Seconds;
  double m_Rate = 0; ///< At m_At.
  TimePoint m_At;
};

} // namespace carawaypond
