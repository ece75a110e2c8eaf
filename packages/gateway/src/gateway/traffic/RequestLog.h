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

/// @return Whether the request is sampled: all its attempts are logged,
/// whatever its outcome. Depends on the id alone, so that all VMs sample the
/// same ones.
[[nodiscard]] bool isSampled(std::string_view RequestId);

/// @return The log line of what @p Replica says about itself.
[[nodiscard]] LogLine describeNotice(const ServerName &Replica,
                                     const ReplicaNotice &Told);

/// @return The log line of a request that was refused before it ran.
[[nodiscard]] LogLine describeNotRun(const adapter::CallerRequest &Asked,
                                     std::string_view Reason);

/// @return The log line of a replica that ended while it ran the request.
/// Requests with the same content have other ids.
[[nodiscard]] LogLine describeEnd(const ServerName &Replica,
                                  const adapter::CallerRequest &Asked,
                                  std::string_view Route);

/// @return The log line of a replica whose answer cost far more work than its
/// bytes carry.
[[nodiscard]] LogLine describeOverWork(const ServerName &Replica);

/// @brief Outcome of a request, for its log line.
struct RequestEnd {
  std::string_view Outcome;
  std::string_view Reason;
  TimePoint ArrivedAt;
  TimePoint Now;
};

/// @return The log line of a request: its outcome, and the attempts that were
/// hedges or retries or were not served; all attempts if the request is
/// sampled.
[[nodiscard]] LogLine describeRequest(const adapter::CallerRequest &Asked,
                                      const RequestRun &Run,
                                      const std::vector<AttemptState> &Attempts,
                                      const RequestEnd &End);

} // namespace carawaypond::gateway
