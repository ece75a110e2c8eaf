#pragma once

#include "core/outcome/Result.h"
#include "core/time/Time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace carawaypond::bench {

/// @brief Queries of one service and class whose arrivals are a Poisson
/// process.
struct LoadStream {
  std::string Name; ///< Streams with the same name share a report.
  std::string Service;
  std::string Class;
  double Rate = 1; ///< Queries per second.
  Milliseconds Deadline{110};
  std::string Body; ///< The complete query as JSON.
};

/// @brief The queries of a run, its VMs and its duration.
struct LoadPlan {
  std::vector<std::string> Vms; ///< Callers' ports to request addresses from.
  std::uint64_t Seed = 1;
  Milliseconds WarmUp{1000}; ///< Queries due in it are sent, not reported.
  Milliseconds Length{5000}; ///< After the warm-up.
  std::vector<LoadStream> Streams;
};

/// @brief Reads a plan: `vms`, `seed`, `warm_up_ms`, `length_ms` and `streams`,
/// each with `name`, `service`, `class`, `rate`, `deadline_ms` and `request`.
[[nodiscard]] Result<LoadPlan> loadPlan(const std::string &Path);

} // namespace carawaypond::bench
