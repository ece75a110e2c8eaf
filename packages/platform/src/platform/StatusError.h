#pragma once

#include "core/outcome/Error.h"
#include "http/Response.h"

#include <optional>
#include <string>

namespace carawaypond::platform::internal {

/// @return The error for the response's status, or std::nullopt for 2xx.
/// @param What Names the request in the error's message.
[[nodiscard]] std::optional<Error> statusError(const http::Response &Answer,
                                               const std::string &What);

} // namespace carawaypond::platform::internal
