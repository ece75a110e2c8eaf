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

/// @brief Decodes a server's response to @p Search.
///
/// A response that names another subrequest, service or shard, lacks a version
/// or layout, or states a count that differs from its number of records, is
/// SearchInDoubt: it is never used as an answer.
[[nodiscard]] SearchOutcome decodeSearch(const SearchRequest &Search,
                                         const http::Response &Response);

/// @brief Classifies a transport failure: NotConnected and Unavailable (no free
/// connection) mean that nothing was sent.
[[nodiscard]] SearchOutcome outcomeOf(const Error &Failure);

/// @brief Decodes the response to `GET /v1/status`.
/// @return The status, or Malformed.
[[nodiscard]] Result<ServerStatus> decodeStatus(const http::Response &Response);

} // namespace carawaypond::backend
