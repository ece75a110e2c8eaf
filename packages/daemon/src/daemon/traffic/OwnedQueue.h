#pragma once

#include "coordination/queue/ReplicaSetQueue.h"
#include "core/id/Ids.h"
#include "daemon/traffic/ServiceRuntime.h"

#include <boost/asio/steady_timer.hpp>

#include <compare>
#include <cstdint>
#include <memory>
#include <optional>

namespace carawaypond::daemon {

/// @brief Names a queue: a shard of one layout, or one replica of it.
struct QueueKey {
  ServiceName Service;
  std::uint64_t Layout = 0;
  ShardId Shard;
  std::optional<ServerName> Replica;

  friend auto operator<=>(const QueueKey &, const QueueKey &) = default;
};

/// @brief A queue with the timer for its next wake-up. Keeps its service's
/// state alive.
struct OwnedQueue {
  QueueKey Key;
  std::shared_ptr<ServiceRuntime> Service;
  std::vector<ServerName> Replicas;
  ReplicaSetQueue Queue;
  boost::asio::steady_timer Timer;
  QueueCounters Counted; ///< What the metrics have been told so far.
};

} // namespace carawaypond::daemon
