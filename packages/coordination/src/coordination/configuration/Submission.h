#pragma once

#include "core/id/Ids.h"

#include <string>
#include <variant>

namespace carawaypond {

/// @brief Creates a service that does not exist.
struct CreateService {
  std::string ContentJson; ///< As parseServiceConfig() reads it.
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

/// @brief One operator's submission. Its id belongs to this change alone: a
/// re-send has the same id and the same change.
struct Submission {
  SubmissionId Id;
  ServiceName Service;
  std::variant<CreateService, PatchService, DeleteService> Change;
};

} // namespace carawaypond
