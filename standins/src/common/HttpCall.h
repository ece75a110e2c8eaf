#pragma once

#include "core/outcome/Result.h"
#include "core/time/Time.h"

#include <boost/asio/awaitable.hpp>

#include <string>

namespace carawaypond::standins {

/// @brief An HTTP request to a server.
struct HttpCall {
  std::string Server = {}; ///< "ip:port".
  std::string Method = "GET";
  std::string Target = {};
  std::string IfMatch = {};
  std::string IfNoneMatch = {};
  std::string Body = {};
  Milliseconds Timeout{2000};
};

/// @brief A complete HTTP response.
struct HttpAnswer {
  unsigned Status = 0;
  std::string Body = {};
};

/// @brief Sends the request on a new connection and reads the response.
boost::asio::awaitable<Result<HttpAnswer>> call(HttpCall Call);

} // namespace carawaypond::standins
