#pragma once

#include "coordination/query/QueryResult.h"
#include "core/id/Ids.h"
#include "http/Response.h"

#include <string>
#include <string_view>

namespace carawaypond::daemon {

/// @brief Tells the caller that nothing ran.
/// @param Status 4xx or 503.
/// @param Reason A fixed word.
[[nodiscard]] http::Response notRun(unsigned Status, std::string_view Reason,
                                    std::string_view Message);

/// @brief Tells the caller that the request may have run.
[[nodiscard]] http::Response unknown(std::string_view Reason,
                                     std::string_view Message);

/// @brief Writes a query's result as the caller gets it.
[[nodiscard]] http::Response toResponse(const QueryResult &Result,
                                        const ServiceName &Service,
                                        const std::string &RequestId);

/// @brief Writes a response as one text, to be kept with its ticket.
[[nodiscard]] std::string packResponse(const http::Response &Response);
/// @brief Reads what packResponse() wrote.
[[nodiscard]] http::Response unpackResponse(const std::string &Packed);

} // namespace carawaypond::daemon
