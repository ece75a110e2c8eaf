#include "coordination/overload/OverloadControl.h"

#include <algorithm>

namespace carawaypond {

std::string describe(const std::vector<ServiceName> &Services) {
  std::string Text = Services.front().value();
  if (Services.size() > 1)
    Text.append(" and ")
        .append(std::to_string(Services.size() - 1))
        .append(" more");
  return Text;
}

OverloadControl::Targets::value_type &
OverloadControl::find(const std::vector<ServiceName> &Services) {
  auto [Found, IsNew] = m_Targets.try_emplace(Services);
  if (IsNew)
    Found->second.setFleetDemandHigh(m_IsFleetDemandHigh);
  return *Found;
}

bool OverloadControl::isDemandHigh(TimePoint Now) const {
  return std::any_of(
      m_Targets.begin(), m_Targets.end(),
      [Now](const auto &Each) { return Each.second.rate().isDemandHigh(Now); });
}

void OverloadControl::setFleetDemandHigh(bool IsHigh) {
  m_IsFleetDemandHigh = IsHigh;
  for (auto &[Key, Target] : m_Targets)
    Target.setFleetDemandHigh(IsHigh);
}

void OverloadControl::update(TimePoint Now) {
  for (auto &[Key, Target] : m_Targets)
    Target.update(Now);
}

} // namespace carawaypond
