#pragma once

#include "core/id/Ids.h"

#include <string>
#include <variant>

namespace carawaypond {

/// @brief The submission made this version; it is durable.
struct SubmissionAccepted {
  ConfigVersion Version;
  friend bool operator==(const SubmissionAccepted &,
                         const SubmissionAccepted &) = default;
};

/// @brief The submission changed nothing: the service has another version than
/// the one it names, or exists where it was to be created. A patch or deletion
/// that is stale stays so; a creation names no version, and may succeed when it
/// is sent again after a deletion.
struct SubmissionStale {
  ConfigVersion Current;
  friend bool operator==(const SubmissionStale &,
                         const SubmissionStale &) = default;
};

/// @brief The submission changed nothing: its content breaks a rule.
struct SubmissionInvalid {
  std::string Message;
  friend bool operator==(const SubmissionInvalid &,
                         const SubmissionInvalid &) = default;
};

/// @brief The submission changed nothing: there is no such service.
struct SubmissionNotFound {
  friend bool operator==(const SubmissionNotFound &,
                         const SubmissionNotFound &) = default;
};

/// @brief It can't be told whether the submission took effect or still will;
/// sending it again with the same id finds out.
struct SubmissionUnknown {
  std::string Message;
  friend bool operator==(const SubmissionUnknown &,
                         const SubmissionUnknown &) = default;
};

using SubmissionOutcome =
    std::variant<SubmissionAccepted, SubmissionStale, SubmissionInvalid,
                 SubmissionNotFound, SubmissionUnknown>;

} // namespace carawaypond
