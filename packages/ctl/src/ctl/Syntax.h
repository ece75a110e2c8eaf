#pragma once

#include "core/id/Ids.h"
#include "ctl/Command.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace carawaypond::ctl {

/// @brief What a command is made from.
struct Operands {
  std::vector<std::string> Words; ///< Those behind the command's name.
  ConfigVersion Version;          ///< Of --version.
  std::string Patch;              ///< Of --patch.
};

/// @brief Options that only some commands take, and then must have.
enum class Needs { Nothing, Version, VersionAndPatch };

/// @brief The shape of a command.
struct Syntax {
  std::size_t Words = 0; ///< How many stand behind the command's name.
  Needs Options = Needs::Nothing;
  std::string Usage;
  Command (*Make)(const Operands &Given) = nullptr;
};

/// @return The syntax of the command @p Name, such as "service get", or
/// nullptr.
[[nodiscard]] const Syntax *findSyntax(std::string_view Name);

} // namespace carawaypond::ctl
