#pragma once

#include "core/outcome/Result.h"
#include "core/time/Time.h"

#include <nlohmann/json_fwd.hpp>

#include <optional>

namespace carawaypond::standins {

/// @brief Injected faults of one server, changeable at run time. A ratio is the
/// fraction of subrequests affected.
struct ServerFaults {
  double Slow = 1;              ///< Factor on the service time.
  bool Stall = false;           ///< Accepts connections and never answers.
  double FailRatio = 0;         ///< Answers 500 after the run.
  double ShedRatio = 0;         ///< Sheds before the run.
  double TruncateRatio = 0;     ///< Cuts the answer's body short.
  double GarbageRatio = 0;      ///< Answers malformed JSON.
  double DropAfterRunRatio = 0; ///< Runs, then closes without an answer.
  double StaleAnswerRatio = 0;  ///< Sends an earlier subrequest's answer.
  std::optional<bool> HealthOverride; ///< Overrides the true state in /health.
  Milliseconds Delay{0};              ///< One way, on requests and answers.
  Milliseconds Reorder{0};            ///< Largest random delay of answers.
  Milliseconds ColdFor{0}; ///< Refuses as cold for this time after a start.
};

/// @brief Sets the faults given in @p Body: `slow`, `stall`, `fail_ratio`,
/// `shed_ratio`, `truncate`, `garbage`, `drop_after_run`, `stale_answer`
/// (ratios, or true for all), `lie_health` ("healthy", "unhealthy" or false),
/// `delay_ms`, `reorder_ms`, `cold_ms`; `{"clear": true}` clears all faults
/// first.
[[nodiscard]] Result<ServerFaults> withFaults(ServerFaults Faults,
                                              const nlohmann::json &Body);

} // namespace carawaypond::standins
