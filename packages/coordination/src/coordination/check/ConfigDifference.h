#pragma once

#include "coordination/check/Finding.h"
#include "coordination/routing/RoutingTable.h"

#include <vector>

namespace carawaypond {

/// @brief Compares a configuration with the one in force.
///
/// Handles changes that the sender did not intend. Routes are identified by
/// host and prefix, services and workspaces by name. Places are those of the
/// new configuration; keys are only counted.
class ConfigDifference {
public:
  ConfigDifference(const RoutingTable &InForce, const RoutingTable &New);

  /// @return The findings: version, routes, services, limits, workspaces.
  [[nodiscard]] const std::vector<Finding> &findings() const {
    return m_Findings;
  }

private:
  void compareVersions();
  void compareRoutes();
  void compareServices();
  void compareLimits();
  void compareWorkspaces();
  void add(ConfigPlace Place, std::string Message);
  /// @brief Adds a change unless @p Changes is empty.
  void addChanged(ConfigPlace Place, const std::string &What,
                  const std::string &Changes);

  const RoutingTable &m_InForce;
  const RoutingTable &m_New;
  std::vector<Finding> m_Findings;
};

} // namespace carawaypond
