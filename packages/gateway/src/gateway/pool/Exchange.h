#pragma once

#include "adapter/ReplicaReply.h"
#include "core/time/Time.h"

#include <functional>
#include <string>
#include <variant>

namespace carawaypond::gateway {

/// @brief Error of a request that got no usable answer.
struct ExchangeFailure {
  bool WasSent = true; ///< Whether some of it may have reached the replica.
  std::string Why;
};

using ExchangeResult = std::variant<adapter::ReplicaReply, ExchangeFailure>;

/// @brief One request to a replica.
struct Exchange {
  std::string Text;      ///< The serialised request.
  std::string RequestId; ///< Request id that the answer must carry.
  bool IsHead = false;
  bool IsIdempotent = false;
  std::function<void()> Written; ///< Called just before the first byte is sent.
  std::function<void(ExchangeResult)> Done; ///< Called once, unless cancelled.
};

} // namespace carawaypond::gateway
