#include "coordination/overload/AdmissionQueue.h"

#include <algorithm>
#include <tuple>

namespace carawaypond {

std::size_t AdmissionQueue::inFlight(const WorkspaceName &Of) const {
  auto Found = m_InFlight.find(Of);
  return Found == m_InFlight.end() ? 0 : Found->second;
}

std::vector<AdmissionQueue::Entry> AdmissionQueue::ordered() const {
  std::vector<Entry> Order = m_Waiting;
  auto Rank = [this](const Entry &Each) {
    return std::tuple(Each.Request.Priority, inFlight(Each.Request.Workspace));
  };
  std::stable_sort(
      Order.begin(), Order.end(),
      [&](const Entry &A, const Entry &B) { return Rank(A) < Rank(B); });
  return Order;
}

bool AdmissionQueue::contains(std::uint64_t Number) const {
  return std::any_of(
      m_Waiting.begin(), m_Waiting.end(),
      [Number](const Entry &Each) { return Each.Number == Number; });
}

void AdmissionQueue::erase(std::uint64_t Number) {
  std::erase_if(m_Waiting,
                [Number](const Entry &Each) { return Each.Number == Number; });
}

void AdmissionQueue::onEnded(const WorkspaceName &Of) {
  auto Found = m_InFlight.find(Of);
  if (Found != m_InFlight.end() && --Found->second == 0)
    m_InFlight.erase(Found);
}

} // namespace carawaypond
