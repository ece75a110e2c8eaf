#pragma once

#include "adapter/CallerRequest.h"
#include "coordination/workspaces/Access.h"

#include <optional>
#include <utility>

namespace carawaypond::gateway {

/// @brief Decides by the key whether a request may be served, and notes its
/// workspace.
///
/// Drops the key, whatever the decision: a request may wait in memory for
/// seconds, and nothing else needs it.
[[nodiscard]] inline Access identifyCaller(const RoutingTable &Table,
                                           const RequestRoute &Route,
                                           adapter::CallerRequest &Asked) {
  Access Given =
      authorize(Table, Route, std::exchange(Asked.Key, std::nullopt));
  if (Given.Caller != nullptr)
    Asked.Workspace = Given.Caller->Name.value();
  return Given;
}

} // namespace carawaypond::gateway
