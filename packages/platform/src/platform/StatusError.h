#pragma once

#include "core/outcome/Error.h"
#include "http/Response.h"

#include <optional>
#include <string>

namespace carawaypond::platform::internal {

/// @return The error that the answer's status stands for, or nothing for 2xx.
[[nodiscard]] std::optional<Error> statusError(const http::Response &Answer,
                                               const std::string &What);

} // namespace carawaypond::platform::internal
