#pragma once

#include "coordination/configuration/SubmissionOutcome.h"
#include "coordination/model/StoredService.h"
#include "core/id/Ids.h"
#include "core/time/Time.h"

#include <cstdint>
#include <optional>
#include <variant>

namespace carawaypond {

/// @brief Action: read the object of kind "service" with a linearizable read.
struct ReadObject {
  ServiceName Service;
  Milliseconds After{0}; ///< Delay before the read.
};

/// @brief Action: write the object on the condition that it has that version,
/// or does not exist.
struct WriteObject {
  StoredService Value;
  std::optional<std::uint64_t> IfVersion; ///< nullopt: If-None-Match.
};

/// @brief Action: answer the operator.
struct FinishSubmission {
  SubmissionOutcome Outcome;
};

using SubmissionAction =
    std::variant<ReadObject, WriteObject, FinishSubmission>;

/// @brief An object as read from the store.
struct StoredObject {
  std::uint64_t ObjectVersion = 0; ///< Version in the Object API.
  StoredService Value;
};

/// @brief Result of a conditional write.
enum class WriteResult {
  Written,
  ConditionFailed, ///< Another write came first, possibly an earlier
                   ///< attempt of this submission that was in doubt.
  InDoubt,         ///< No answer; it may have taken effect or may still do so.
};

} // namespace carawaypond
