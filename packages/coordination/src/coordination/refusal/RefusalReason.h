#pragma once

namespace carawaypond {

/// @brief Why a request is refused without having run.
enum class RefusalReason {
  NoReplica,    ///< A required service has no replica.
  ReplicasBusy, ///< No replica has a free slot before its deadline.
  Leaving,      ///< This VM is stopping.
  NotReady,     ///< This VM has no configuration or replicas yet.
  /// This VM can't tell whether the request's key has been revoked.
  KeyUnproven,
  QuotaUnavailable, ///< This VM can't tell whether the quota is used up.
  EndsReplicas,     ///< Replicas have ended when they ran such a request.
};

} // namespace carawaypond
