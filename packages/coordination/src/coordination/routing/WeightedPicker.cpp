#include "coordination/routing/WeightedPicker.h"

#include "core/invariant/Invariant.h"

namespace carawaypond {

const ServiceName &WeightedPicker::pick(const WeightedTarget &Target) {
  CARAWAYPOND_INVARIANT(!Target.Services.empty(), "no service to pick from");
  double Sum = 0;
  const WeightedService *Richest = nullptr;
  double Most = 0;
  for (const WeightedService &Each : Target.Services) {
    auto [Found, IsNew] =
        m_Credit.try_emplace(Each.Service, m_Start * Each.Weight);
    Found->second += Each.Weight;
    Sum += Each.Weight;
    if (Each.Weight > 0 && (Richest == nullptr || Found->second > Most)) {
      Richest = &Each;
      Most = Found->second;
    }
  }
  if (Richest == nullptr)
    Richest = &Target.Services.front();
  m_Credit[Richest->Service] -= Sum;
  return Richest->Service;
}

} // namespace carawaypond
