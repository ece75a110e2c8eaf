#pragma once

#include "coordination/placement/LoadBalance.h"
#include "core/outcome/Result.h"

#include <string>

namespace carawaypond::daemon {

/// @brief What the process does.
enum class Task {
  Serve,
  CheckSettings,
  ShowHelp,
  ShowVersion,
};

/// @brief The daemon's command line.
struct CommandLine {
  Task Mode = Task::Serve;
  bool IsGateway = false; ///< Whether the platform provides the settings.
  std::string SettingsPath;
  LoadBalance Balance = LoadBalance::LeastCost; ///< Of the gateway.
  bool ReportsSlowReplicas = false;             ///< The gateway.
};

/// @brief Exit codes of the daemon, as --help prints them.
enum class ExitCode : int {
  Ok = 0,
  Usage = 2,
  InvalidSettings = 3,
  CannotListen = 4,
};

/// @return The parsed command line, or InvalidInput.
[[nodiscard]] Result<CommandLine> parseCommandLine(int Count,
                                                   const char *const *Values);

/// @return The text that --help prints.
[[nodiscard]] std::string helpText();

} // namespace carawaypond::daemon
