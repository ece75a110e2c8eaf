#include "coordination/fleet/StoreReaderSelector.h"

#include <utility>

namespace carawaypond {

bool StoreReaderSelector::isTooEarly(const std::vector<LoadedVm> &Heard,
                                     TimePoint Now) const {
  return Heard.empty() && Now < m_StartedAt + m_Options.StartupWait;
}

std::optional<VmRecord>
StoreReaderSelector::reader(const LoadedVm &Self,
                            const std::vector<LoadedVm> &Heard, TimePoint Now,
                            bool HasLostStore) const {
  bool IsReaderExcluded =
      m_FailedAt && Now < *m_FailedAt + m_Options.ReaderRetryDelay;
  if (IsReaderExcluded && HasLostStore && m_Options.FollowsOthersIfLost)
    return otherReader(Self, Heard);
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

std::optional<VmRecord>
StoreReaderSelector::otherReader(const LoadedVm &Self,
                                 const std::vector<LoadedVm> &Heard) const {
  auto IsFurther = [&](const VmRecord &Record) {
    return Record.Centre != Self.Record.Centre;
  };
  const VmRecord *First = nullptr;
  for (const LoadedVm &Each : Heard) {
    const VmRecord &Record = Each.Record;
    bool IsCandidate = Each.ReadsStore && Record.Name != m_FailedReader &&
                       Record.State != VmState::Leaving;
    if (!IsCandidate)
      continue;
    bool IsBetter =
        First == nullptr || std::pair(IsFurther(Record), Record.Name) <
                                std::pair(IsFurther(*First), First->Name);
    if (IsBetter)
      First = &Record;
  }
  return First == nullptr ? std::nullopt : std::optional(*First);
}

void StoreReaderSelector::onReaderFailed(const VmName &Reader, TimePoint Now) {
  m_FailedAt = Now;
  m_FailedReader = Reader;
}

} // namespace carawaypond
