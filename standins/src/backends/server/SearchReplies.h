#pragma once

#include "backends/index/Refusal.h"
#include "backends/index/ReplicaWindow.h"
#include "backends/records/RecordSet.h"
#include "backends/run/RunQueue.h"
#include "backends/server/SearchRequest.h"
#include "common/HttpReply.h"
#include "core/outcome/Error.h"

#include <string>
#include <string_view>

namespace carawaypond::standins {

/// @brief 200 with the records found.
[[nodiscard]] HttpReply recordsReply(const SearchRequest &Request,
                                     const RecordSet &Found,
                                     const ReplicaWindow &Window,
                                     bool Draining);

/// @brief `"ran": false` and the reason.
[[nodiscard]] HttpReply refusedReply(const std::string &Id, const Refusal &Why,
                                     const ReplicaWindow &Window);

/// @brief `"ran": true` and the reason why there is no answer.
[[nodiscard]] HttpReply ranReply(const std::string &Id, std::string_view Reason,
                                 unsigned Status);

/// @brief 400 for a malformed subrequest.
[[nodiscard]] HttpReply malformedReply(const Error &Failure);

[[nodiscard]] HttpReply cancelReply(CancelState State);

/// @brief The answer to `GET /v1/status`.
[[nodiscard]] HttpReply statusReply(const ServerName &Server,
                                    const std::string &Service,
                                    const ReplicaWindow &Window, bool Draining);

} // namespace carawaypond::standins
