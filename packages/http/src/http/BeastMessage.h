#pragma once

#include "http/Message.h"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <optional>
#include <string>

namespace carawaypond::http::internal {

using BeastRequest =
    boost::beast::http::request<boost::beast::http::string_body>;
using BeastResponse =
    boost::beast::http::response<boost::beast::http::string_body>;

/// @return The request, or std::nullopt if its target is not a path.
[[nodiscard]] std::optional<Request> fromBeast(BeastRequest Incoming);
[[nodiscard]] Response fromBeast(BeastResponse Incoming);

/// @brief Prepares @p Outgoing, with its length, for the server @p Host.
[[nodiscard]] BeastRequest toBeast(Request Outgoing, const std::string &Host);
/// @brief Prepares @p Outgoing. Omits a header whose name or value has
/// characters that would let it be parsed as more than one header.
[[nodiscard]] BeastResponse toBeast(Response Outgoing, bool KeepAlive);

/// @return Whether @p Outgoing has no characters that would let one part of it
/// be parsed as another (request smuggling).
[[nodiscard]] bool isWellFormed(const Request &Outgoing);

} // namespace carawaypond::http::internal
