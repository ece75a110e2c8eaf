#pragma once

#include "http/Response.h"

#include <string_view>

namespace carawaypond::http {

/// @brief Makes the JSON body that every error answer has.
/// @param Status The HTTP status.
/// @param Outcome What became of the request: "not_run", "unknown" ...
/// @param Reason A fixed word that callers branch on.
/// @param Message For people.
[[nodiscard]] Response errorResponse(unsigned Status, std::string_view Outcome,
                                     std::string_view Reason,
                                     std::string_view Message);

} // namespace carawaypond::http
