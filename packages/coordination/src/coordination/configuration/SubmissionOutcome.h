#pragma once

#include "core/id/Ids.h"

#include <string>
#include <variant>

namespace carawaypond {

/// @brief The submission created this version, which is durable.
struct SubmissionAccepted {
  ConfigVersion Version;
  friend bool operator==(const SubmissionAccepted &,
                         const SubmissionAccepted &) = default;
};

/// @brief The submission changed nothing: the service has another version than
/// the submission names, or already exists in case of a creation. A retry of a
/// stale patch or deletion stays stale. A creation names no version, so a retry
/// may succeed after the service was deleted.
struct SubmissionStale {
  ConfigVersion Current;
  friend bool operator==(const SubmissionStale &,
                         const SubmissionStale &) = default;
};

/// @brief The submission changed nothing: its content is invalid.
struct SubmissionInvalid {
  std::string Message;
  friend bool operator==(const SubmissionInvalid &,
                         const SubmissionInvalid &) = default;
};

/// @brief The submission changed nothing: the service does not exist.
struct SubmissionNotFound {
  friend bool operator==(const SubmissionNotFound &,
                         const SubmissionNotFound &) = default;
};

/// @brief It is unknown whether the submission took effect or still will. A
/// retry with the same id finds out.
struct SubmissionUnknown {
  std::string Message;
  friend bool operator==(const SubmissionUnknown &,
                         const SubmissionUnknown &) = default;
};

using SubmissionOutcome =
    std::variant<SubmissionAccepted, SubmissionStale, SubmissionInvalid,
                 SubmissionNotFound, SubmissionUnknown>;

} // namespace carawaypond
