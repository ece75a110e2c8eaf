#pragma once

#include "core/outcome/Error.h"

#include <boost/outcome/result.hpp>

#include <string>
#include <utility>

namespace carawaypond {

/// @brief A value, or the Error because of which there is none.
template <typename T>
using Result =
    boost::outcome_v2::result<T, Error, boost::outcome_v2::policy::terminate>;

/// @brief Makes a failed Result: `return failure(ErrorCode::NotFound, "...")`.
[[nodiscard]] inline auto failure(ErrorCode Code, std::string Message) {
  return boost::outcome_v2::failure(
      Error{.Code = Code, .Message = std::move(Message)});
}

/// @brief Makes a successful Result that carries no value.
[[nodiscard]] inline auto success() { return boost::outcome_v2::success(); }

} // namespace carawaypond
