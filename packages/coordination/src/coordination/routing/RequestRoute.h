#pragma once

#include "core/id/Ids.h"
#include "core/time/Time.h"

#include <cstddef>
#include <string>
#include <variant>
#include <vector>

namespace carawaypond {

/// @brief Whether a request may be executed more than once.
enum class RequestKind { Idempotent, NonIdempotent };

/// @brief Requests go to one replica of a service.
struct SingleTarget {
  ServiceName Service;
};

/// @brief One of several services that share a route's requests.
struct WeightedService {
  ServiceName Service;
  double Weight = 0;

  friend bool operator==(const WeightedService &,
                         const WeightedService &) = default;
};

/// @brief Each request goes to one of several services, by weight.
struct WeightedTarget {
  std::vector<WeightedService> Services;
};

/// @brief Each request goes to one replica of every shard.
struct ShardSetTarget {
  std::vector<ServiceName> Shards;
  std::size_t TopRecords = 0; ///< How many of the greatest records to return.
  double LeastShare = 0;      ///< Least share of shards for a success.
};

using RouteTarget = std::variant<SingleTarget, WeightedTarget, ShardSetTarget>;

/// @brief How requests for one host and path prefix are handled.
struct RequestRoute {
  std::string Name;
  std::string Host;
  std::string Prefix; ///< Begins and ends with a slash.
  RequestKind Kind = RequestKind::NonIdempotent;
  Milliseconds Timeout{0};   ///< Longest time that a request may take.
  Milliseconds Objective{0}; ///< Latency that callers expect.
  unsigned Priority = 0;     ///< 0 is the most urgent.
  unsigned MaxAttempts = 1;  ///< Replicas that may run a request, per shard.
  bool IsPublic = false;     ///< Requests need no key.
  RouteTarget Target;
};

} // namespace carawaypond
