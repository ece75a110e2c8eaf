#pragma once

namespace carawaypond::ctl {

/// @brief What carawayctl exits with; documented in its --help.
enum class ExitCode {
  Ok = 0,         ///< Accepted, or answered.
  Usage = 2,      ///< The command line or a file can't be read.
  Stale = 3,      ///< Refused: not the current version.
  Invalid = 4,    ///< Refused: the content or the request is invalid.
  Unknown = 5,    ///< In doubt: ask again with the submission's id.
  NotFound = 6,   ///< No such service.
  Unreached = 7,  ///< No VM took the request; nothing was changed.
  NotInForce = 8, ///< Not in force on every VM before the timeout.
};

} // namespace carawaypond::ctl
