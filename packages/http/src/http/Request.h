#pragma once

#include "core/time/Time.h"
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
  /// When its first byte was found; set by the listener.
  TimePoint ReceivedAt;
  /// Set by a listener with ListenerOptions::WatchCallers.
  std::shared_ptr<CallerConnection> Caller;
  /// Memory that it uses; set by the listener. Whoever keeps its head or body
  /// after the answer keeps this too.
  std::shared_ptr<MemoryReservation> Reservation;

  /// @return The decoded value of the first parameter @p Name, or std::nullopt
  /// if there is none or its encoding is invalid.
  [[nodiscard]] std::optional<std::string>
  queryParameter(std::string_view Name) const;
  /// @return The value of the first header named @p Name, without regard to
  /// case.
  [[nodiscard]] std::optional<std::string> header(std::string_view Name) const;
};

} // namespace carawaypond::http
