#pragma once

#include "core/outcome/Result.h"

#include <boost/asio/ip/tcp.hpp>

#include <string>

namespace carawaypond::peer {

/// @brief Reads "ip:port"; no name is looked up.
[[nodiscard]] Result<boost::asio::ip::tcp::endpoint>
parseEndpoint(const std::string &Address);

/// @brief Writes an endpoint as parseEndpoint() reads it.
[[nodiscard]] std::string
formatEndpoint(const boost::asio::ip::tcp::endpoint &Endpoint);

} // namespace carawaypond::peer
