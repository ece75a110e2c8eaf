#pragma once

#include "http/Header.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace carawaypond::http {

/// @brief An HTTP response.
struct Response {
  unsigned Status = 200;
  std::string ContentType = "application/json"; ///< None if empty.
  std::vector<Header> Headers; ///< Besides Content-Type and Content-Length.
  std::string Body;

  /// @return The value of the first header @p Name, in any case.
  [[nodiscard]] std::optional<std::string> header(std::string_view Name) const;
};

} // namespace carawaypond::http
