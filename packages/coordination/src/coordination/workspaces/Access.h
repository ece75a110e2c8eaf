#pragma once

#include "coordination/routing/RoutingTable.h"

#include <optional>
#include <string>

namespace carawaypond {

/// @brief Whether a request may be served, and for which workspace.
struct Access {
  bool IsAllowed = false;
  const Workspace *Caller = nullptr; ///< Null if the request needs no key.
};

/// @brief Decides by the key of a request.
///
/// A key that is not known gives no access. On a public route such a request is
/// served like one without a key.
[[nodiscard]] inline Access authorize(const RoutingTable &Table,
                                      const RequestRoute &Route,
                                      const std::optional<std::string> &Key) {
  const WorkspaceTable &Known = Table.workspaces();
  if (!Known.areKeysRequired())
    return {.IsAllowed = true};
  const Workspace *Caller = Key ? Known.findByKey(*Key) : nullptr;
  return {.IsAllowed = Caller != nullptr || Route.IsPublic, .Caller = Caller};
}

} // namespace carawaypond
