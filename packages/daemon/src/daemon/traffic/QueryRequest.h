#pragma once

#include "core/id/Ids.h"
#include "core/outcome/Result.h"
#include "core/time/Time.h"

#include <optional>
#include <string>

namespace carawaypond::daemon {

/// @brief The body of a caller's `POST /v1/query`.
struct QueryRequest {
  ServiceName Service;
  std::optional<ClassName> Class;
  std::string Request;                  ///< JSON text.
  std::optional<Milliseconds> Deadline; ///< Counted from arrival.
  bool Repeatable = true;
  std::string Ticket; ///< Empty if none was given.
};

/// @brief Parses the body of a query.
/// @return The query, or InvalidInput with the JSON path.
[[nodiscard]] Result<QueryRequest> parseQueryRequest(const std::string &Body);

} // namespace carawaypond::daemon
