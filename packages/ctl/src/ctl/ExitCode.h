#pragma once

namespace carawaypond::ctl {

/// @brief Exit codes of carawayctl; documented in its --help.
enum class ExitCode {
  Ok = 0,         ///< Accepted, or answered.
  Findings = 1,   ///< A checked document has errors or contradictions.
  Usage = 2,      ///< The command line is invalid or a file can't be read.
  Stale = 3,      ///< Refused: the version is no longer current.
  Invalid = 4,    ///< Refused: the content or the request is invalid.
  Unknown = 5,    ///< Outcome unknown: query it by the submission id.
  NotFound = 6,   ///< No such service.
  Unreached = 7,  ///< No VM ran the request; nothing was changed.
  NotInForce = 8, ///< Not in force on every VM before the timeout.
};

} // namespace carawaypond::ctl
