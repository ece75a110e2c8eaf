#pragma once

#include "http/Header.h"
#include "http/fwd.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace carawaypond::http {

/// @brief An HTTP request. Path and Query are as on the wire, still
/// percent-encoded.
struct Request {
  std::string Method = "GET";
  std::string Path = "/";
  std::string Query; ///< Without the question mark.
  std::vector<Header> Headers;
  std::string Body;
  std::string Target;        ///< As on the wire; set by the listener.
  std::string RemoteAddress; ///< "ip:port"; set by the listener.
  /// Set by a listener that watches its callers.
  std::shared_ptr<CallerPresence> Caller;

  /// @return The decoded value of the first parameter @p Name; absent as well
  /// when its encoding is wrong.
  [[nodiscard]] std::optional<std::string>
  queryParameter(std::string_view Name) const;
  /// @return The value of the first header @p Name, in any case.
  [[nodiscard]] std::optional<std::string> header(std::string_view Name) const;
};

} // namespace carawaypond::http
