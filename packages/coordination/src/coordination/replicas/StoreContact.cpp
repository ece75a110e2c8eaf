#include "coordination/replicas/StoreContact.h"

#include <algorithm>

namespace carawaypond {

std::optional<ContactSpan> StoreContact::latest() const {
  if (m_Spans.empty())
    return std::nullopt;
  return m_Spans.back();
}

bool StoreContact::isOut(TimePoint Now) const {
  return m_Spans.empty() || Now - m_Spans.back().Until > m_MinOutage;
}

void StoreContact::add(ContactSpan Span) {
  auto IsApart = [&](const ContactSpan &Each) {
    return Each.Until + m_MinOutage < Span.Since ||
           Span.Until + m_MinOutage < Each.Since;
  };
  std::vector<ContactSpan> Kept;
  for (const ContactSpan &Each : m_Spans) {
    if (IsApart(Each)) {
      Kept.push_back(Each);
      continue;
    }
    Span.Since = std::min(Span.Since, Each.Since);
    Span.Until = std::max(Span.Until, Each.Until);
  }
  auto After =
      std::find_if(Kept.begin(), Kept.end(), [&](const ContactSpan &Each) {
        return Span.Since < Each.Since;
      });
  Kept.insert(After, Span);
  if (Kept.size() > MaxSpans)
    Kept.erase(Kept.begin());
  m_Spans = std::move(Kept);
}

} // namespace carawaypond
