#pragma once

#include "http/Header.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace carawaypond::http {

/// @brief An HTTP response.
struct Response {
  unsigned Status = 200;
  std::string ContentType = "application/json"; ///< No header if empty.
  std::vector<Header> Headers; ///< Other than Content-Type and Content-Length.
  std::string Body;
  /// Kept until the response was written, such as a reservation of memory.
  std::shared_ptr<void> KeptAlive;

  /// @return The value of the first header named @p Name, without regard to
  /// case.
  [[nodiscard]] std::optional<std::string> header(std::string_view Name) const;
};

} // namespace carawaypond::http
