#pragma once

#include "coordination/routing/CallerLimits.h"
#include "coordination/routing/Route.h"
#include "coordination/routing/ServiceLimits.h"
#include "core/id/Ids.h"

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace carawaypond {

/// @brief One version of the routes, immutable once made.
class RoutingTable {
public:
  using Services = std::unordered_map<ServiceName, ServiceLimits>;

  RoutingTable(ConfigVersion Version, std::vector<Route> Routes,
               Services Limits, CallerLimits Callers);

  [[nodiscard]] ConfigVersion version() const { return m_Version; }
  [[nodiscard]] const std::vector<Route> &routes() const { return m_Routes; }
  [[nodiscard]] const CallerLimits &callerLimits() const { return m_Callers; }
  /// @return The limits of @p Service; the defaults if it is not named.
  [[nodiscard]] ServiceLimits limits(const ServiceName &Service) const;
  /// @brief The route of @p Host whose prefix is the longest that begins
  /// @p Path, or null.
  /// @param Host As in the request's header: any case, a port may follow.
  [[nodiscard]] const Route *find(std::string_view Host,
                                  std::string_view Path) const;

private:
  ConfigVersion m_Version;
  std::vector<Route> m_Routes;
  Services m_Services;
  CallerLimits m_Callers;
  std::unordered_map<std::string, std::size_t> m_ByHostAndPrefix;
};

} // namespace carawaypond
