#pragma once

#include "coordination/query/QueryRun.h"
#include "coordination/queue/QueueActions.h"

#include <cstddef>
#include <variant>

namespace carawaypond::proof {

/// @brief A subrequest on its way from the coordinator to an owner.
struct ToOwner {
  VmName Owner;
  std::size_t Query = 0;
  Subrequest Request;
};

struct CancelToOwner {
  VmName Owner;
  SubrequestId Id;
};

/// @brief An outcome on its way back to the coordinator.
struct ToCoordinator {
  std::size_t Query = 0;
  SubrequestEnded Ended;
};

/// @brief The coordinator learns that a call to an owner broke.
struct OwnerLost {
  std::size_t Query = 0;
  SubrequestId Id;
  bool MaySent = true;
};

struct ToServer {
  VmName Owner;
  SendAttempt Send;
};

struct CancelToServer {
  VmName Owner;
  CancelAttempt Cancel;
};

/// @brief A backend server's answer or refusal on its way to an owner.
struct FromServer {
  VmName Owner;
  AttemptId Attempt;
  std::variant<SubAnswered, ServerRefusal> Answer;
};

/// @brief An owner learns that a connection to a backend server broke.
struct AttemptLost {
  VmName Owner;
  AttemptId Attempt;
};

using Message = std::variant<ToOwner, CancelToOwner, ToCoordinator, OwnerLost,
                             ToServer, CancelToServer, FromServer, AttemptLost>;

} // namespace carawaypond::proof
