#include "coordination/replicas/StoreContact.h"

#include <algorithm>
#include <tuple>

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
    return Each.Era != Span.Era || Each.Until + m_MinOutage < Span.Since ||
           Span.Until + m_MinOutage < Each.Since;
  };
  bool IsNewEra = !m_Spans.empty() && m_Spans.back().Era > StoreEra(0) &&
                  m_Spans.back().Era < Span.Era;
  Span.FollowsRestore = Span.FollowsRestore || IsNewEra;
  std::vector<ContactSpan> Kept;
  for (const ContactSpan &Each : m_Spans) {
    bool IsSameEra = Each.Era == Span.Era;
    Span.FollowsRestore =
        Span.FollowsRestore || (IsSameEra && Each.FollowsRestore);
    if (IsApart(Each)) {
      Kept.push_back(Each);
      continue;
    }
    Span.Since = std::min(Span.Since, Each.Since);
    Span.Until = std::max(Span.Until, Each.Until);
  }
  auto After =
      std::find_if(Kept.begin(), Kept.end(), [&](const ContactSpan &Each) {
        return std::tie(Span.Era, Span.Since) < std::tie(Each.Era, Each.Since);
      });
  Kept.insert(After, Span);
  if (Kept.size() > MaxSpans)
    Kept.erase(Kept.begin());
  m_Spans = std::move(Kept);
}

} // namespace carawaypond
