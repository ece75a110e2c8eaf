#pragma once

#include "http/Response.h"

#include <string_view>

namespace carawaypond::http {

/// @brief Makes an error response, with the JSON body common to all of them.
/// @param Status The HTTP status.
/// @param Outcome What happened to the request: "not_run", "unknown" ...
/// @param Reason A fixed value that callers branch on.
/// @param Message A text for people.
[[nodiscard]] Response errorResponse(unsigned Status, std::string_view Outcome,
                                     std::string_view Reason,
                                     std::string_view Message);

} // namespace carawaypond::http
