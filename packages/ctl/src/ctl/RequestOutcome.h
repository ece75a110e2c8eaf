#pragma once

#include "core/outcome/Error.h"
#include "http/Response.h"

#include <string>
#include <variant>

namespace carawaypond::ctl {

/// @brief A VM answered, other than that it did not run the request.
struct Answered {
  http::Response Answer;
};

/// @brief No VM ran the request.
struct RequestNotRun {
  std::string Reason;
};

/// @brief A VM may have received the request, but its answer was lost.
struct AnswerLost {
  Error Cause;
};

/// @brief The outcome of a request to the operators' port.
using RequestOutcome = std::variant<Answered, RequestNotRun, AnswerLost>;

} // namespace carawaypond::ctl
