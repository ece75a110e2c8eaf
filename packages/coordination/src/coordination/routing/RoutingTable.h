#pragma once

#include "coordination/routing/CallerLimits.h"
#include "coordination/routing/ConfiguredService.h"
#include "coordination/routing/RequestRoute.h"
#include "coordination/workspaces/WorkspaceTable.h"
#include "core/id/Ids.h"

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace carawaypond {

/// @brief One version of the routes. Immutable.
class RoutingTable {
public:
  /// In the order of the configuration. Of entries with one name, the last one
  /// counts.
  using Services = std::vector<ConfiguredService>;

  RoutingTable(ConfigVersion Version, std::vector<RequestRoute> Routes,
               Services Limits, CallerLimits Callers,
               WorkspaceTable Workspaces = {});

  [[nodiscard]] ConfigVersion version() const { return m_Version; }
  [[nodiscard]] const std::vector<RequestRoute> &routes() const {
    return m_Routes;
  }
  [[nodiscard]] const Services &services() const { return m_Services; }
  [[nodiscard]] const CallerLimits &callerLimits() const { return m_Callers; }
  [[nodiscard]] const WorkspaceTable &workspaces() const {
    return m_Workspaces;
  }
  /// @return Whether a route or a workspace has a priority other than 0.
  [[nodiscard]] bool hasPriorities() const { return m_HasPriorities; }
  [[nodiscard]] bool hasService(const ServiceName &Service) const {
    return m_Limits.contains(Service);
  }
  /// @return The limits of @p Service; the defaults if it is not known.
  [[nodiscard]] ReplicaLimits limits(const ServiceName &Service) const;
  /// @return The route of @p Host with the longest prefix of @p Path, or null.
  /// @param Host Value of the Host header: in any case, with or without a port.
  [[nodiscard]] const RequestRoute *find(std::string_view Host,
                                         std::string_view Path) const;
  /// @return The route of @p Host and exactly @p Prefix, or null. Of several
  /// such routes, the first one is in force.
  [[nodiscard]] const RequestRoute *findByPrefix(std::string_view Host,
                                                 std::string_view Prefix) const;

private:
  ConfigVersion m_Version;
  std::vector<RequestRoute> m_Routes;
  Services m_Services;
  std::unordered_map<ServiceName, ReplicaLimits> m_Limits;
  CallerLimits m_Callers;
  WorkspaceTable m_Workspaces;
  bool m_HasPriorities;
  std::unordered_map<std::string, std::size_t> m_ByHostAndPrefix;
};

} // namespace carawaypond
