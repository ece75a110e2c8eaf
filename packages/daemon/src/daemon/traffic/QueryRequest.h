#pragma once

#include "core/id/Ids.h"
#include "core/outcome/Result.h"
#include "core/time/Time.h"

#include <optional>
#include <string>

namespace carawaypond::daemon {

/// @brief A caller's `POST /v1/query`.
struct QueryRequest {
  ServiceName Service;
  std::optional<ClassName> Class;
  std::string Request;                  ///< JSON text.
  std::optional<Milliseconds> Deadline; ///< From its arrival.
  bool Repeatable = true;
  std::string Ticket; ///< Empty unless given.
};

/// @brief Reads a query's body.
/// @return The query, or InvalidInput naming the JSON path.
[[nodiscard]] Result<QueryRequest> parseQueryRequest(const std::string &Body);

} // namespace carawaypond::daemon
