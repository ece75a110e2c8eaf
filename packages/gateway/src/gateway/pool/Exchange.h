#pragma once

#include "adapter/EncodedSubrequest.h"
#include "adapter/ReplicaReply.h"
#include "core/id/Ids.h"

#include <functional>
#include <string>
#include <variant>

namespace carawaypond::gateway {

/// @brief Error of a request that got no usable answer.
struct ExchangeFailure {
  bool WasSent = true; ///< Whether some of it may have reached the replica.
  bool IsWithdrawn = false; ///< Not sent, because MaySend returned false.
  /// The replica closed or reset the connection before its answer was whole.
  bool IsConnectionLost = false;
  /// Closed, as the answer cost far more work than its bytes carry.
  bool IsOverWork = false;
  std::string Why;

  [[nodiscard]] static ExchangeFailure withdrawn() {
    return {
        .WasSent = false, .IsWithdrawn = true, .Why = "no longer to be sent"};
  }
};

using ExchangeResult = std::variant<adapter::ReplicaReply, ExchangeFailure>;

/// @brief One request to a replica.
struct Exchange {
  /// Asked just before the first byte is sent, and while the request waits:
  /// what was true when it began to wait for a connection may have changed.
  std::function<bool()> MaySend = [] { return true; };
  /// Called just before the first byte is sent, with the connection's number.
  /// @return The serialised request. It is freed as soon as it was written.
  std::function<adapter::EncodedSubrequest(ConnectionNumber)> Compose;
  std::string RequestId; ///< Request id that the answer must carry.
  bool IsHead = false;
  bool IsIdempotent = false;
  std::function<void(ExchangeResult)> Done; ///< Called once, unless cancelled.
};

} // namespace carawaypond::gateway
