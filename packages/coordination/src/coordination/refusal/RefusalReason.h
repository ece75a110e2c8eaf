#pragma once

namespace carawaypond {

/// @brief Why a request is refused without having run.
enum class RefusalReason {
  NoReplica,    ///< A service that it needs has no replica.
  ReplicasBusy, ///< The replicas have no room before its deadline.
  Leaving,      ///< This VM is about to stop.
  NotReady,     ///< This VM knows no configuration or no replicas yet.
};

} // namespace carawaypond
