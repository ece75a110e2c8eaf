#pragma once

#include "core/outcome/Result.h"

#include <boost/asio/ip/tcp.hpp>

#include <string>

namespace carawaypond::peer {

/// @brief Parses "ip:port". Host names are not resolved.
[[nodiscard]] Result<boost::asio::ip::tcp::endpoint>
parseEndpoint(const std::string &Address);

/// @brief Formats an endpoint in the syntax of parseEndpoint().
[[nodiscard]] std::string
formatEndpoint(const boost::asio::ip::tcp::endpoint &Endpoint);

} // namespace carawaypond::peer
