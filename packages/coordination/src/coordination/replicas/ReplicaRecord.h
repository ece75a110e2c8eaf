#pragma once

#include "core/id/Ids.h"
#include "core/time/Time.h"

#include <cstdint>
#include <string>

namespace carawaypond {

enum class ReplicaState { Serving, Leaving };

/// @brief A replica as described by the platform.
struct ReplicaRecord {
  ServerName Id;
  ServiceName Service;
  std::string Address; ///< "ip:port"
  DataCentre Centre;
  unsigned Slots = 1; ///< Requests that it processes concurrently.
  ReplicaState State = ReplicaState::Serving;
  Milliseconds WarmupLeft{0};
  std::int64_t StartedAt =
      0; ///< Unix milliseconds; identifies the incarnation, without an order.

  friend bool operator==(const ReplicaRecord &,
                         const ReplicaRecord &) = default;
};

} // namespace carawaypond
