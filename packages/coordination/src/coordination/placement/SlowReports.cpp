#include "coordination/placement/SlowReports.h"

#include <algorithm>
#include <set>

namespace carawaypond {

std::size_t SlowReports::vms(const SlowReportOptions &Options,
                             TimePoint Now) const {
  std::set<VmName> Reporting;
  for (const Report &Each : m_Reports)
    if (isCurrent(Each, Options, Now))
      Reporting.insert(Each.From);
  return Reporting.size();
}

bool SlowReports::areConclusive(const SlowReportOptions &Options,
                                TimePoint Now) const {
  if (vms(Options, Now) < Options.MinVms)
    return false;
  TimePoint First = TimePoint::max();
  TimePoint Last = TimePoint::min();
  for (const Report &Each : m_Reports) {
    if (!isCurrent(Each, Options, Now))
      continue;
    First = std::min(First, Each.At);
    Last = std::max(Last, Each.At);
  }
  return Last - First >= Options.MinSpan;
}

void SlowReports::add(const VmName &From, TimePoint At,
                      const SlowReportOptions &Options, TimePoint Now) {
  std::erase_if(m_Reports, [&](const Report &Each) {
    return !isCurrent(Each, Options, Now);
  });
  TimePoint Answered = std::min(At, Now);
  bool IsRepeated =
      std::any_of(m_Reports.begin(), m_Reports.end(), [&](const Report &Each) {
        return Each.From == From && Answered - Each.At < Options.MinGap &&
               Each.At - Answered < Options.MinGap;
      });
  if (!IsRepeated)
    m_Reports.push_back({.From = From, .At = Answered});
}

} // namespace carawaypond
