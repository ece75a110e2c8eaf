#include "coordination/routing/WeightedPicker.h"

#include "coordination/routing/RoutingTable.h"
#include "core/invariant/Invariant.h"

#include <unordered_set>

namespace carawaypond {

namespace {

std::string keyOf(const RequestRoute &Route) {
  return Route.Host + Route.Prefix;
}

} // namespace

WeightedPicker::Split
WeightedPicker::restart(const WeightedTarget &Target) const {
  Split New{.Services = Target.Services, .Credits = {}};
  for (const WeightedService &Each : Target.Services)
    New.Credits.push_back(m_Start * Each.Weight);
  return New;
}

WeightedPicker::Split &WeightedPicker::splitOf(const RequestRoute &Route,
                                               const WeightedTarget &Target) {
  Split &Known = m_Splits[keyOf(Route)];
  if (Known.Services != Target.Services)
    Known = restart(Target);
  return Known;
}

const ServiceName &WeightedPicker::pick(const RequestRoute &Route,
                                        const WeightedTarget &Target) {
  CARAWAYPOND_INVARIANT(!Target.Services.empty(), "no service to pick from");
  std::vector<double> &Credits = splitOf(Route, Target).Credits;
  double Sum = 0;
  std::size_t Picked = Target.Services.size();
  for (std::size_t I = 0; I < Target.Services.size(); ++I) {
    double Weight = Target.Services[I].Weight;
    Credits[I] += Weight;
    Sum += Weight;
    bool IsFirst = Picked == Target.Services.size();
    if (Weight > 0 && (IsFirst || Credits[I] > Credits[Picked]))
      Picked = I;
  }
  if (Picked == Target.Services.size())
    Picked = 0;
  Credits[Picked] -= Sum;
  return Target.Services[Picked].Service;
}

void WeightedPicker::retain(const RoutingTable &Table) {
  std::unordered_set<std::string> Held;
  for (const RequestRoute &Each : Table.routes())
    Held.insert(keyOf(Each));
  std::erase_if(m_Splits,
                [&](const auto &Each) { return !Held.contains(Each.first); });
}

} // namespace carawaypond
