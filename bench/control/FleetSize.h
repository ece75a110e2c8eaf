#pragma once

#include <cstddef>

namespace carawaypond::bench {

/// @brief Size and rate of change of a simulated fleet.
struct FleetSize {
  std::size_t Centres = 1;
  std::size_t VmsPerCentre = 8;
  std::size_t KnownVms = 0; ///< VMs known to each node but not simulated.
  std::size_t Services = 100;
  std::size_t Replicas = 1000;
  double ChangesPerSecond = 0;  ///< Configuration changes.
  bool VersionsAdvance = false; ///< Replica versions advance every second.

  [[nodiscard]] std::size_t vms() const { return Centres * VmsPerCentre; }
};

} // namespace carawaypond::bench
