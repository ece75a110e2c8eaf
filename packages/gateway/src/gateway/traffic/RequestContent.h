#pragma once

#include "adapter/CallerRequest.h"
#include "coordination/quarantine/QuarantineReport.h"
#include "core/id/Ids.h"

#include <cstdint>
#include <string_view>

namespace carawaypond::gateway {

/// @return The hash of the request's method, host, path, query, workspace and
/// body. Its id, its timeout and its other headers do not count.
[[nodiscard]] ContentHash contentOf(const adapter::CallerRequest &Asked);
[[nodiscard]] RequestHash hashOfRequest(std::string_view RequestId);
/// @param StartedAt Of the replica's record: it may start again under its name.
[[nodiscard]] ReplicaHash hashOfReplica(const ServerName &Replica,
                                        std::int64_t StartedAt);

} // namespace carawaypond::gateway
