#include "coordination/fleet/StoreReaderSelector.h"

namespace carawaypond {

bool StoreReaderSelector::isTooEarly(const std::vector<LoadedVm> &Heard,
                                     TimePoint Now) const {
  return Heard.empty() && Now < m_StartedAt + m_Options.StartupWait;
}

std::optional<VmRecord>
StoreReaderSelector::reader(const LoadedVm &Self,
                            const std::vector<LoadedVm> &Heard,
                            TimePoint Now) const {
  bool IsReaderExcluded =
      m_FailedAt && Now < *m_FailedAt + m_Options.ReaderRetryDelay;
  if (IsReaderExcluded)
    return std::nullopt;
  const VmRecord *First = &Self.Record;
  for (const LoadedVm &Each : Heard) {
    bool IsCandidate = Each.ReadsStore &&
                       Each.Record.Centre == Self.Record.Centre &&
                       Each.Record.State != VmState::Leaving;
    if (IsCandidate && Each.Record.Name < First->Name)
      First = &Each.Record;
  }
  if (First == &Self.Record)
    return std::nullopt;
  return *First;
}

void StoreReaderSelector::onReaderFailed(TimePoint Now) { m_FailedAt = Now; }

} // namespace carawaypond
