#pragma once

#include "coordination/check/Finding.h"
#include "coordination/routing/RoutingTable.h"

#include <unordered_set>
#include <vector>

namespace carawaypond {

/// @brief Checks a configuration by itself, before it is sent.
///
/// Handles documents that can be decoded but do not serve as intended: entries
/// that are ignored or can never match, and limits that contradict each other.
class ConfigCheck {
public:
  explicit ConfigCheck(const RoutingTable &Table);

  /// @return The findings: routes, services, workspaces.
  [[nodiscard]] const std::vector<Finding> &findings() const {
    return m_Findings;
  }

private:
  friend struct TargetCheck;

  void checkRoute(std::size_t Entry);
  void checkServices();
  void checkWorkspaces();
  void checkQuota(const Workspace &Checked, std::size_t Entry);
  void checkName(const ServiceName &Name, ConfigPlace Place);
  void add(Severity Level, ConfigPlace Place, std::string Message);

  const RoutingTable &m_Table;
  std::unordered_set<ServiceName> m_NamedByRoutes;
  std::vector<Finding> m_Findings;
};

} // namespace carawaypond
