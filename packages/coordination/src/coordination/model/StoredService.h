#pragma once

#include "coordination/model/ServiceConfig.h"
#include "core/id/Ids.h"
#include "core/outcome/Result.h"

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <vector>

namespace carawaypond {

/// @brief Submissions that a service object remembers.
inline constexpr std::size_t MaxSubmissionHistory = 32;

/// @brief A submission that took effect.
struct AppliedSubmission {
  ConfigVersion Version;
  SubmissionId Submission;

  friend bool operator==(const AppliedSubmission &,
                         const AppliedSubmission &) = default;
};

/// @brief A service's configuration as kept in the Object API.
struct StoredService {
  ConfigVersion Version;
  SubmissionId Submission; ///< The one that made this version.
  bool Deleted = false;    ///< A deletion is a version too; it never reverts.
  ServiceConfig Content;
  std::vector<AppliedSubmission> History; ///< Oldest first, this one last.

  friend bool operator==(const StoredService &,
                         const StoredService &) = default;
};

/// @brief Reads the value of an object of kind "service".
[[nodiscard]] Result<StoredService>
parseStoredService(const nlohmann::json &Value);

/// @brief Writes @p Stored as parseStoredService() reads it.
[[nodiscard]] nlohmann::json toJson(const StoredService &Stored);

} // namespace carawaypond
