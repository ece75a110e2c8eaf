#include "coordination/routing/WeightedPicker.h"

#include "core/invariant/Invariant.h"

namespace carawaypond {

const ServiceName &WeightedPicker::pick(const WeightedTarget &Target) {
  CARAWAYPOND_INVARIANT(!Target.Services.empty(), "no service to pick from");
  double Sum = 0;
  const WeightedService *PickedService = nullptr;
  double MaxCredit = 0;
  for (const WeightedService &Each : Target.Services) {
    auto [Found, IsNew] =
        m_Credit.try_emplace(Each.Service, m_Start * Each.Weight);
    Found->second += Each.Weight;
    Sum += Each.Weight;
    if (Each.Weight > 0 &&
        (PickedService == nullptr || Found->second > MaxCredit)) {
      PickedService = &Each;
      MaxCredit = Found->second;
    }
  }
  if (PickedService == nullptr)
    PickedService = &Target.Services.front();
  m_Credit[PickedService->Service] -= Sum;
  return PickedService->Service;
}

} // namespace carawaypond
