#pragma once

#include <cstddef>

namespace carawaypond::bench {

/// @brief What a simulated fleet consists of.
struct FleetSize {
  std::size_t Centres = 1;
  std::size_t VmsPerCentre = 8;
  std::size_t KnownVms = 0; ///< Further VMs that each one holds records of.
  std::size_t Services = 100;
  std::size_t Replicas = 1000;
  double ChangesPerSecond = 0; ///< Of configurations.
  bool VersionsMove = false;   ///< Every replica advances once a second.

  [[nodiscard]] std::size_t vms() const { return Centres * VmsPerCentre; }
};

} // namespace carawaypond::bench
