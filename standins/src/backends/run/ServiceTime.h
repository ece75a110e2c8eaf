#pragma once

#include "backends/deployment/ServiceTimeOptions.h"
#include "core/time/Time.h"

#include <cstdint>
#include <random>

namespace carawaypond::standins {

/// @brief Draws service times of subrequests; reproducible for a given seed.
class ServiceTime {
public:
  ServiceTime(ServiceTimeOptions Options, std::uint64_t Seed);

  /// @brief Draws the next time.
  /// @param SinceStart Time since the server started.
  /// @param Slow Factor of a slow server.
  [[nodiscard]] Duration draw(Duration SinceStart, double Slow);

private:
  [[nodiscard]] double coldFactor(Duration SinceStart) const;

  ServiceTimeOptions m_Options;
  std::mt19937_64 m_Random;
  std::lognormal_distribution<double> m_Spread;
  std::uniform_real_distribution<double> m_Uniform{0, 1};
};

} // namespace carawaypond::standins
