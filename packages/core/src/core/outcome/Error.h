#pragma once

#include <string>

namespace carawaypond {

/// @brief What kind of failure an Error is; callers branch on this alone.
enum class ErrorCode {
  InvalidInput,   ///< The input breaks a documented rule.
  NotFound,       ///< The named thing does not exist.
  Conflict,       ///< Another write came before a conditional one.
  NotConnected,   ///< No byte of the request left this process.
  ConnectionLost, ///< Some of the request may have been received.
  TimedOut,       ///< The deadline passed; the request may have been received.
  Malformed,      ///< The peer's answer could not be understood.
  TooLarge,       ///< A size limit was exceeded.
  Unavailable,    ///< The peer said that it can't serve now.
  Cancelled,      ///< This side cancelled the call.
};

/// @brief A failure as a value.
struct Error {
  ErrorCode Code = ErrorCode::InvalidInput;
  std::string Message; ///< For people: names the object and what is allowed.
};

} // namespace carawaypond
