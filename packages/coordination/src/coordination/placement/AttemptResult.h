#pragma once

namespace carawaypond {

/// @brief How sending a request to one replica ended.
enum class AttemptResult {
  Served,       ///< A complete success.
  ServerFailed, ///< The replica ran it and answered with a failure.
  NotRun,       ///< The replica said that it did not run it.
  Misplaced,    ///< Another replica has the address now; not run.
  NeverSent,    ///< No byte left this VM.
  Lost,         ///< No usable answer; it may have run.
  Abandoned,    ///< This VM gave up waiting; it may have run.
};

} // namespace carawaypond
