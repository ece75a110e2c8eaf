#pragma once

#include "core/outcome/Result.h"
#include "core/time/Time.h"

#include <boost/asio/awaitable.hpp>

#include <string>

namespace carawaypond::standins {

/// @brief One call to a server of the platform.
struct HttpCall {
  std::string Server = {}; ///< "ip:port".
  std::string Method = "GET";
  std::string Target = {};
  std::string IfMatch = {};
  std::string IfNoneMatch = {};
  std::string Body = {};
  Milliseconds Timeout{2000};
};

/// @brief A whole answer.
struct HttpAnswer {
  unsigned Status = 0;
  std::string Body = {};
};

/// @brief Makes one call on a connection of its own.
boost::asio::awaitable<Result<HttpAnswer>> call(HttpCall Call);

} // namespace carawaypond::standins
