#pragma once

#include "coordination/configuration/SubmissionOutcome.h"
#include "coordination/model/StoredService.h"
#include "core/id/Ids.h"
#include "core/time/Time.h"

#include <cstdint>
#include <optional>
#include <variant>

namespace carawaypond {

/// @brief Read the object of kind "service" by a linearizable read.
struct ReadObject {
  ServiceName Service;
  Milliseconds After{0}; ///< Wait so long first.
};

/// @brief Write the object if it has that version, or if there is none.
struct WriteObject {
  StoredService Value;
  std::optional<std::uint64_t> IfVersion; ///< Nothing: If-None-Match.
};

/// @brief Answer the operator.
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

/// @brief How a conditional write ended.
enum class WriteResult {
  Written,
  ConditionFailed, ///< Another write came first, maybe an own one in doubt.
  InDoubt,         ///< No answer; it may have taken effect, or still will.
};

} // namespace carawaypond
