#pragma once

#include "coordination/query/QueryRun.h"
#include "coordination/queue/QueueActions.h"

#include <cstddef>
#include <variant>

namespace carawaypond::proof {

/// @brief A subrequest on its way from the coordinator to an owner.
struct SubrequestToOwner {
  VmName Owner;
  std::size_t Query = 0;
  Subrequest Request;
};

/// @brief The cancellation of a subrequest, on its way to its owner.
struct CancelToOwner {
  VmName Owner;
  SubrequestId Id;
};

/// @brief An outcome on its way back to the coordinator.
struct OutcomeToCoordinator {
  std::size_t Query = 0;
  SubrequestEnded Ended;
};

/// @brief Tells the coordinator that a call to an owner was lost.
struct OwnerLost {
  std::size_t Query = 0;
  SubrequestId Id;
  bool MayHaveBeenSent =
      true; ///< False when no byte of the subrequest was sent.
};

/// @brief An attempt at a subrequest, on its way to a backend server.
struct AttemptToServer {
  VmName Owner;
  SendAttempt Send;
};

/// @brief The cancellation of an attempt, on its way to a backend server.
struct CancelToServer {
  VmName Owner;
  CancelAttempt Cancel;
};

/// @brief A backend server's answer or refusal on its way to an owner.
struct ReplyFromServer {
  VmName Owner;
  AttemptId Attempt;
  std::variant<SubAnswered, ServerRefusal> Answer;
};

/// @brief Tells an owner that the connection of an attempt was lost.
struct AttemptLost {
  VmName Owner;
  AttemptId Attempt;
};

using Message = std::variant<SubrequestToOwner, CancelToOwner,
                             OutcomeToCoordinator, OwnerLost, AttemptToServer,
                             CancelToServer, ReplyFromServer, AttemptLost>;

} // namespace carawaypond::proof
