#pragma once

#include "core/id/Ids.h"
#include "daemon/traffic/ServiceRuntime.h"

#include <map>
#include <memory>

namespace carawaypond::daemon {

/// @brief The services in force, with their state on one traffic thread.
class ServiceTable {
public:
  using Entry = std::shared_ptr<ServiceRuntime>;

  explicit ServiceTable(const PolicySettings &Policy) : m_Policy(Policy) {}

  /// @return The service, or nullptr.
  [[nodiscard]] Entry find(const ServiceName &Name) const;
  [[nodiscard]] const std::map<ServiceName, Entry> &all() const {
    return m_Services;
  }

  /// @brief Applies a new control view.
  void apply(const ControlView &View);
  /// @brief Sets the state of a server in every service that uses it.
  void setServerState(const ServerName &Server, ServerState State);

private:
  const PolicySettings &m_Policy;
  std::map<ServiceName, Entry> m_Services;
};

} // namespace carawaypond::daemon
