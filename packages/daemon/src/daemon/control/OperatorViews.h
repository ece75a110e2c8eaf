#pragma once

#include "daemon/control/ControlState.h"

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace carawaypond::daemon {

/// @brief What this VM knows, written for operators.
class OperatorViews {
public:
  explicit OperatorViews(const ControlState &State) : m_State(State) {}

  /// @return "starting", "serving" or "leaving".
  [[nodiscard]] nlohmann::json live() const;
  [[nodiscard]] nlohmann::json vms() const;
  /// @return Which VM owns each shard of a service; null when the service or
  /// its index is not known.
  [[nodiscard]] nlohmann::json ownership(const std::string &Service) const;
  /// @return The backend servers of a service, or of all.
  [[nodiscard]] nlohmann::json backends(const std::string &Service) const;
  [[nodiscard]] nlohmann::json drains() const;

private:
  const ControlState &m_State;
};

} // namespace carawaypond::daemon
