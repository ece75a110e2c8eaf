#pragma once

#include "core/id/Ids.h"
#include "ctl/Command.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace carawaypond::ctl {

/// @brief The arguments from which a command is built.
struct Operands {
  std::vector<std::string> Words;     ///< Arguments after the command name.
  ConfigVersion Version;              ///< Value of --version.
  std::string Patch;                  ///< Value of --patch.
  std::optional<std::string> Against; ///< Value of --against.
};

/// @brief Options that a command requires; other commands do not accept them.
enum class RequiredOptions { Nothing, Version, VersionAndPatch };

/// @brief The command-line syntax of a command, and its factory.
struct CommandSyntax {
  std::size_t Words = 0; ///< Number of positional arguments.
  RequiredOptions Options = RequiredOptions::Nothing;
  std::string Usage;
  Command (*Make)(const Operands &Input) = nullptr;
  /// Whether it only reads files: it needs no --operator and accepts --against.
  bool IsLocal = false;
};

/// @return The syntax of the command @p Name, such as "service get", or
/// nullptr.
[[nodiscard]] const CommandSyntax *findSyntax(std::string_view Name);

} // namespace carawaypond::ctl
