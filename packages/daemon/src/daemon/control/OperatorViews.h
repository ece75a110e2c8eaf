#pragma once

#include "daemon/control/ControlState.h"

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace carawaypond::daemon {

/// @brief Renders this VM's state as JSON for the operators' API.
class OperatorViews {
public:
  explicit OperatorViews(const ControlState &State) : m_State(State) {}

  /// @return The VM's name, incarnation and state: "starting", "serving" or
  /// "leaving".
  [[nodiscard]] nlohmann::json live() const;
  [[nodiscard]] nlohmann::json vms() const;
  /// @return The VM that owns each shard of a service; null if the service or
  /// its index is unknown.
  [[nodiscard]] nlohmann::json ownership(const std::string &Service) const;
  /// @return The backend servers of a service; of all services if the name is
  /// empty.
  [[nodiscard]] nlohmann::json backends(const std::string &Service) const;
  [[nodiscard]] nlohmann::json drains() const;

private:
  const ControlState &m_State;
};

} // namespace carawaypond::daemon
