#pragma once

#include "core/id/Ids.h"

namespace carawaypond::ctl {

/// @return Whether @p Id consists of 1 to 64 characters from [A-Za-z0-9._-].
[[nodiscard]] bool isValidSubmissionId(const SubmissionId &Id);

/// @brief Generates a unique id: "ctl-" and 128 random bits.
[[nodiscard]] SubmissionId makeSubmissionId();

} // namespace carawaypond::ctl
