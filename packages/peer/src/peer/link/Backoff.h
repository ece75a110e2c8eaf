#pragma once

#include "core/time/Time.h"

#include <random>

namespace carawaypond::peer {

/// @brief Exponential backoff with jitter.
class Backoff {
public:
  Backoff(Duration First, Duration Max);

  /// @return The next delay: random between half of the current step and the
  /// whole step. Doubles the step, up to the maximum.
  [[nodiscard]] Duration next(std::mt19937_64 &Random);
  /// @brief Resets the step to its initial value.
  void reset();

private:
  Duration m_First;
  Duration m_Max;
  Duration m_Step;
};

} // namespace carawaypond::peer
