#pragma once

#include "core/time/Time.h"

#include <random>

namespace carawaypond::peer {

/// @brief Exponential backoff with jitter.
class Backoff {
public:
  Backoff(Duration First, Duration Max);

  /// @return The next wait: between half of the step and all of it.
  [[nodiscard]] Duration next(std::mt19937_64 &Random);
  /// @brief Starts again from the first step.
  void reset();

private:
  Duration m_First;
  Duration m_Max;
  Duration m_Step;
};

} // namespace carawaypond::peer
