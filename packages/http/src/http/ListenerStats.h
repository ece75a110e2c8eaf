#pragma once

#include <cstddef>
#include <cstdint>

namespace carawaypond::http {

/// @brief What a Listener has counted since it opened.
struct ListenerStats {
  std::uint64_t Accepted = 0;
  std::uint64_t Refused = 0;   ///< Connections above a limit.
  std::uint64_t Malformed = 0; ///< Requests answered with 400.
  std::uint64_t Oversized = 0; ///< Requests answered with 413 or 431.
  std::uint64_t TimedOut = 0;  ///< Slow requests, and slow readers of answers.
  std::uint64_t Requests = 0;  ///< Given to the handler.
  std::size_t Open = 0;        ///< Connections now.
  std::size_t InFlight = 0;    ///< From first byte read to answer written, now.
};

} // namespace carawaypond::http
