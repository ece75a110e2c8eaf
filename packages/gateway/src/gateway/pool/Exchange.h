#pragma once

#include "adapter/ReplicaReply.h"
#include "core/time/Time.h"

#include <functional>
#include <optional>
#include <string>
#include <variant>

namespace carawaypond::gateway {

/// @brief Error of a request that got no usable answer.
struct ExchangeFailure {
  bool WasSent = true; ///< Whether some of it may have reached the replica.
  bool IsWithdrawn = false; ///< Not sent, because Compose returned nothing.
  std::string Why;
};

using ExchangeResult = std::variant<adapter::ReplicaReply, ExchangeFailure>;

/// @brief One request to a replica.
struct Exchange {
  /// Called just before the first byte is sent: what was true when the request
  /// began to wait for a connection may have changed.
  /// @return The serialised request, or nothing if it must not be sent any
  /// more.
  std::function<std::optional<std::string>()> Compose;
  std::string RequestId; ///< Request id that the answer must carry.
  bool IsHead = false;
  bool IsIdempotent = false;
  std::function<void(ExchangeResult)> Done; ///< Called once, unless cancelled.
};

} // namespace carawaypond::gateway
