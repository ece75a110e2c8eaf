#pragma once

#include "core/outcome/Result.h"

#include <boost/asio/ip/tcp.hpp>

#include <string>
#include <string_view>

namespace carawaypond::http {

/// @brief Parses "ip:port" or "[ipv6]:port"; host names are not resolved.
[[nodiscard]] Result<boost::asio::ip::tcp::endpoint>
parseEndpoint(std::string_view Address);

/// @brief Formats @p Endpoint in the form that parseEndpoint() parses.
[[nodiscard]] std::string
formatEndpoint(const boost::asio::ip::tcp::endpoint &Endpoint);

} // namespace carawaypond::http
