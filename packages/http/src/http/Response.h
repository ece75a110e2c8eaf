#pragma once

#include "http/Header.h"
#include "http/fwd.h"

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
  /// Memory that the response uses, released once it was written; may be null.
  std::shared_ptr<MemoryReservation> Reservation;

  /// @return The value of the first header named @p Name, without regard to
  /// case.
  [[nodiscard]] std::optional<std::string> header(std::string_view Name) const;
};

} // namespace carawaypond::http
