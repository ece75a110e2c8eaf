#pragma once

#include "backend/search/SearchOutcome.h"
#include "backend/search/SearchRequest.h"
#include "backend/search/ServerStatus.h"
#include "core/outcome/Result.h"
#include "http/Message.h"

namespace carawaypond::backend {

/// @brief Encodes a subrequest as `POST /v1/search`.
/// @param Search Its Request must be valid JSON.
[[nodiscard]] http::Request encodeSearch(const SearchRequest &Search);

/// @brief Decodes a server's answer to @p Search.
///
/// An answer that does not name the very subrequest, shard, version and layout
/// that were asked for, or whose count differs from its records, counts as
/// SearchInDoubt: it is never passed on.
[[nodiscard]] SearchOutcome decodeSearch(const SearchRequest &Search,
                                         const http::Response &Response);

/// @brief Classifies a failure of the transport: NotConnected and Unavailable
/// (no free connection) mean that nothing was sent.
[[nodiscard]] SearchOutcome outcomeOf(const Error &Failure);

/// @brief Decodes the answer to `GET /v1/status`.
/// @return The status, or Malformed.
[[nodiscard]] Result<ServerStatus> decodeStatus(const http::Response &Response);

} // namespace carawaypond::backend
