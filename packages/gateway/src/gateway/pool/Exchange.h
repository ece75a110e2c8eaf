#pragma once

#include "adapter/ReplicaReply.h"
#include "core/time/Time.h"

#include <functional>
#include <string>
#include <variant>

namespace carawaypond::gateway {

/// @brief Why a request got no usable answer.
struct ExchangeFailure {
  bool WasSent = true; ///< Whether some of it may have reached the replica.
  std::string Why;
};

using ExchangeResult = std::variant<adapter::ReplicaReply, ExchangeFailure>;

/// @brief One request to a replica.
struct Exchange {
  std::string Text;      ///< The whole request as on the wire.
  std::string RequestId; ///< That the answer must bear.
  bool IsHead = false;
  bool IsIdempotent = false;
  std::function<void()> Written; ///< Called as its first byte is sent.
  std::function<void(ExchangeResult)> Done; ///< Called once, unless cancelled.
};

} // namespace carawaypond::gateway
