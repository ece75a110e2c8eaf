#pragma once

#include "adapter/CallerRequest.h"
#include "coordination/placement/AttemptResult.h"
#include "coordination/run/RequestRun.h"
#include "gateway/log/LogLine.h"
#include "gateway/traffic/AttemptState.h"

#include <string_view>
#include <vector>

namespace carawaypond::gateway {

[[nodiscard]] std::string_view nameOf(RefusalReason Why);
[[nodiscard]] std::string_view nameOf(FailureReason Why);

/// @return Whether @p RequestId is one whose whole story is logged, however it
/// ended. The same ones on every VM.
[[nodiscard]] bool isSampled(std::string_view RequestId);

/// @brief How a request ended, for its log line.
struct RequestEnd {
  std::string_view Outcome;
  std::string_view Reason;
  TimePoint ArrivedAt;
  TimePoint Now;
};

/// @return The line that explains a request: what it was answered, and the
/// attempts that were extra or gave no part; all attempts of a sampled one.
[[nodiscard]] LogLine describeRequest(const adapter::CallerRequest &Asked,
                                      const RequestRun &Run,
                                      const std::vector<AttemptState> &Attempts,
                                      const RequestEnd &End);

} // namespace carawaypond::gateway
