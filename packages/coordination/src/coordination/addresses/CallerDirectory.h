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
  /// The fewest VMs that one answer names, if there are so many.
  std::size_t LeastVms = 2;
  /// Attempts that one processor core makes in a second.
  double AttemptsPerCore = 8'000;
  /// Part of the named VMs' capacity that the load may take; the rest is for
  /// bursts and for VMs that fail.
  double TargetUse = 0.3;
};

/// @brief A caller that asks where to connect.
struct CallerQuestion {
  std::optional<DataCentre> Centre; ///< Where the caller is.
  /// Where the caller's queries cost least; empty if they cost alike.
  std::set<DataCentre> CheapCentres;
};

/// @brief Decides which VMs callers use: few and strong ones near the replicas
/// and the caller, as many as the load needs.
///
/// Answers fleets in which most VMs are weak and each would see too few
/// requests to know the replicas: with the load on few VMs, each of them keeps
/// its connections warm and notices a slow or paused replica at once.
class CallerDirectory {
public:
  explicit CallerDirectory(CallerDirectoryOptions Options)
      : m_Options(Options) {}

  /// @param Usable VMs that are up and take requests.
  /// @return Addresses of callers' ports.
  [[nodiscard]] std::vector<std::string>
  answer(const CallerQuestion &Question,
         const std::vector<LoadedVm> &Usable) const;

private:
  CallerDirectoryOptions m_Options;
};

} // namespace carawaypond
