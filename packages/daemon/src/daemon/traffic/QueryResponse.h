#pragma once

#include "coordination/query/QueryResult.h"
#include "core/id/Ids.h"
#include "http/Response.h"

#include <string>
#include <string_view>

namespace carawaypond::daemon {

/// @brief Makes the response for a request that did not run.
/// @param Status 4xx or 503.
/// @param Reason A fixed identifier that callers can match.
[[nodiscard]] http::Response notRun(unsigned Status, std::string_view Reason,
                                    std::string_view Message);

/// @brief Makes the response for a request that may have run.
[[nodiscard]] http::Response unknown(std::string_view Reason,
                                     std::string_view Message);

/// @brief Converts the result of a query to the caller's response.
[[nodiscard]] http::Response toResponse(const QueryResult &Result,
                                        const ServiceName &Service,
                                        const std::string &RequestId);

/// @brief Serialises a response to one string, to be stored with its ticket.
[[nodiscard]] std::string packResponse(const http::Response &Response);
/// @brief Parses a string written by packResponse().
[[nodiscard]] http::Response unpackResponse(const std::string &Packed);

} // namespace carawaypond::daemon
