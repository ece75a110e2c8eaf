#pragma once

#include "core/id/Ids.h"

#include <string>
#include <variant>

namespace carawaypond {

/// @brief Creates a service that does not exist.
struct CreateService {
  std::string ContentJson; ///< In the format of parseServiceConfig().
};

/// @brief Changes a service by a JSON Merge Patch (RFC 7386).
struct PatchService {
  ConfigVersion Version; ///< The version that the operator last read.
  std::string PatchJson;
};

/// @brief Deletes a service.
struct DeleteService {
  ConfigVersion Version; ///< The version that the operator last read.
};

/// @brief An operator's submission. The id is an idempotency key: a retry has
/// the same id and the same change, and no other submission has that id.
struct Submission {
  SubmissionId Id;
  ServiceName Service;
  std::variant<CreateService, PatchService, DeleteService> Change;
};

} // namespace carawaypond
