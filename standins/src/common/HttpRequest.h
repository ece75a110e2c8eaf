#pragma once

#include <string>

namespace carawaypond::standins {

/// @brief The parts of an HTTP request that handlers use.
struct HttpRequest {
  std::string Method;
  std::string Path;  ///< Target up to the question mark.
  std::string Query; ///< Target after the question mark.
  std::string IfMatch;
  std::string IfNoneMatch;
  std::string Body;
};

} // namespace carawaypond::standins
