#pragma once

namespace carawaypond {

/// @brief How an attempt at one replica ended.
enum class AttemptResult {
  Served,       ///< A complete success.
  ServerFailed, ///< The replica ran it and reported a failure.
  NotRun,       ///< The replica reported that it did not run it.
  Misplaced,    ///< The address belongs to another replica; not run.
  NeverSent,    ///< No byte left this VM, as no connection could be used.
  Withdrawn,    ///< No byte left this VM, as it was not to be sent any more.
  Lost,         ///< No usable answer; it may have run.
  Abandoned,    ///< This VM gave up waiting; it may have run.
};

} // namespace carawaypond
