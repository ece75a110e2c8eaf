#pragma once

#include "coordination/overload/TargetAdmission.h"
#include "core/id/Ids.h"

#include <map>
#include <string>
#include <vector>

namespace carawaypond {

/// @return The name of a service or a set of shards in logs.
[[nodiscard]] std::string describe(const std::vector<ServiceName> &Services);

/// @brief The admission decisions of this VM: one TargetAdmission for each
/// service and each set of shards.
class OverloadControl {
public:
  using Targets = std::map<std::vector<ServiceName>, TargetAdmission>;

  [[nodiscard]] const Targets &targets() const { return m_Targets; }
  /// @return The admission to @p Services; created if it is not known yet. It
  /// stays valid, as ends of its requests are counted later.
  Targets::value_type &find(const std::vector<ServiceName> &Services);
  /// @return Whether callers ask for much more than usual.
  [[nodiscard]] bool isDemandHigh(TimePoint Now) const;
  /// @brief See AdmissionRate::setFleetDemandHigh().
  void setFleetDemandHigh(bool IsHigh);
  /// @brief Ends the limits that are due to end.
  void update(TimePoint Now);

private:
  Targets m_Targets;
  bool m_IsFleetDemandHigh = false;
};

} // namespace carawaypond
