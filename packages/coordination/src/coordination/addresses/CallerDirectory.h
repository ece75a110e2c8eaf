#pragma once

#include "coordination/fleet/VmLoad.h"
#include "core/id/Ids.h"
#include "core/time/Time.h"

#include <cstddef>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace carawaypond {

struct CallerDirectoryOptions {
  std::size_t MaxAddresses = 64;
  /// Minimum number of VMs in one answer, if there are as many.
  std::size_t MinVms = 2;
  /// Attempts per second that one processor core can make.
  double AttemptsPerCore = 8'000;
  /// Fraction of the capacity of the VMs in an answer that the load may use.
  /// The rest is reserved for bursts and failures of VMs.
  double TargetUtilisation = 0.3;
};

/// @brief A caller's request for addresses to connect to.
struct CallerQuestion {
  std::optional<DataCentre> Centre; ///< Where the caller is.
  /// Data centres where the caller's queries cost least; empty if they cost the
  /// same everywhere.
  std::set<DataCentre> CheapCentres;
};

/// @brief Selects the VMs that callers use: as few as the load allows, those
/// with the highest capacity first, near the replicas and the caller.
///
/// In a fleet in which most VMs have little capacity, a VM would otherwise get
/// too few requests to learn the state of the replicas. With the load on few
/// VMs, each keeps its connections warm and detects a slow or paused replica at
/// once.
class CallerDirectory {
public:
  explicit CallerDirectory(CallerDirectoryOptions Options)
      : m_Options(Options) {}

  /// @param Usable VMs that are up and take requests.
  /// @return Addresses of the VMs' ports for callers, in order of preference.
  [[nodiscard]] std::vector<std::string>
  answer(const CallerQuestion &Question,
         const std::vector<LoadedVm> &Usable) const;

private:
  CallerDirectoryOptions m_Options;
};

} // namespace carawaypond
