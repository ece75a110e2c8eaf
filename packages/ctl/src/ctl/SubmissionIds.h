#pragma once

#include "core/id/Ids.h"

namespace carawaypond::ctl {

/// @return Whether @p Id has 1 to 64 characters from [A-Za-z0-9._-].
[[nodiscard]] bool isValidSubmissionId(const SubmissionId &Id);

/// @brief Makes an id that no other submission has.
[[nodiscard]] SubmissionId makeSubmissionId();

} // namespace carawaypond::ctl
