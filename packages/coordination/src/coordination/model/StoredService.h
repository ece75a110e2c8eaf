#pragma once

#include "coordination/model/ServiceConfig.h"
#include "core/id/Ids.h"
#include "core/outcome/Result.h"

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <vector>

namespace carawaypond {

/// @brief Maximum number of submissions in a service object's history.
inline constexpr std::size_t MaxSubmissionHistory = 32;

/// @brief A submission that took effect.
struct AppliedSubmission {
  ConfigVersion Version;
  SubmissionId Submission;

  friend bool operator==(const AppliedSubmission &,
                         const AppliedSubmission &) = default;
};

/// @brief A service's configuration as stored in the Object API.
struct StoredService {
  ConfigVersion Version;
  SubmissionId Submission; ///< The one that created this version.
  bool Deleted = false;    ///< A deletion is a version of its own.
  ServiceConfig Content;
  std::vector<AppliedSubmission>
      History; ///< Oldest first; includes this version.

  friend bool operator==(const StoredService &,
                         const StoredService &) = default;
};

/// @brief Reads the value of an object of kind "service".
[[nodiscard]] Result<StoredService>
parseStoredService(const nlohmann::json &Value);

/// @brief Writes @p Stored in the format of parseStoredService().
[[nodiscard]] nlohmann::json toJson(const StoredService &Stored);

} // namespace carawaypond
