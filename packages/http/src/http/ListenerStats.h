#pragma once

#include <cstddef>
#include <cstdint>

namespace carawaypond::http {

/// @brief Counters of a Listener since it opened.
struct ListenerStats {
  std::uint64_t Accepted = 0;
  std::uint64_t Refused = 0;   ///< Connections refused because of a limit.
  std::uint64_t Malformed = 0; ///< Requests answered with 400.
  std::uint64_t Oversized = 0; ///< Requests answered with 413 or 431.
  /// Requests answered with 503, as they exceeded MaxRequestMemory.
  std::uint64_t OutOfMemory = 0;
  /// Requests answered with 400 and connections closed, as their bytes cost far
  /// more work than they carry (WorkLimits).
  std::uint64_t OverWork = 0;
  std::uint64_t TimedOut = 0; ///< Requests or reads of responses that were too
                              ///< slow.
  std::uint64_t Requests = 0; ///< Passed to the handler.
  std::size_t Open = 0;       ///< Connections currently open.
  std::size_t InFlight = 0; ///< Requests currently between the first byte read
                            ///< and the response written.
};

} // namespace carawaypond::http
