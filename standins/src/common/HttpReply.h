#pragma once

#include <string>

namespace carawaypond::standins {

/// @brief How a response is delivered to the caller.
enum class Delivery {
  Whole,
  Truncated, ///< The body is cut short and the connection closed.
  Dropped,   ///< The connection is closed without an answer.
  Withheld,  ///< Nothing is sent; the connection stays open.
};

/// @brief The response of a handler.
struct HttpReply {
  unsigned Status = 200;
  std::string Body = {};
  bool Draining = false; ///< Adds the header `X-Draining: 1`.
  Delivery How = Delivery::Whole;
};

} // namespace carawaypond::standins
