#pragma once

#include "adapter/ReplicaReply.h"
#include "coordination/run/RunActions.h"
#include "gateway/pool/ReplicaPool.h"

#include <memory>
#include <optional>
#include <string>

namespace carawaypond::gateway {

/// @brief One attempt of a request and its result.
struct AttemptState {
  StartAttempt Started;
  std::shared_ptr<ReplicaPool> Pool; ///< Null if the replica is unknown.
  ReplicaPool::Ticket Ticket = 0;
  TimePoint SentAt; ///< When it was passed to the pool.
  std::optional<ConnectionNumber> Connection; ///< That it was written on.
  std::optional<TimePoint> WrittenAt; ///< When its first byte was written.
  Milliseconds TimeGiven{0}; ///< Deadline sent to the replica, from WrittenAt.
  TimePoint AbandonAt = TimePoint::max();
  std::optional<TimePoint> EndedAt;
  std::optional<AttemptResult> Ended;
  std::optional<adapter::ReplicaReply> Reply;
  std::string ErrorText; ///< Error of the connection, if it failed.
};

} // namespace carawaypond::gateway
