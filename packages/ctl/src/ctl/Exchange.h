#pragma once

#include "core/outcome/Error.h"
#include "http/Response.h"

#include <string>
#include <variant>

namespace carawaypond::ctl {

/// @brief A VM took the request and answered.
struct Answered {
  http::Response Answer;
};

/// @brief No VM took the request.
struct NotTaken {
  std::string Why;
};

/// @brief A VM may have received the request; its answer is missing.
struct AnswerLost {
  Error Cause;
};

/// @brief What became of a request to the operators' port.
using Exchange = std::variant<Answered, NotTaken, AnswerLost>;

} // namespace carawaypond::ctl
