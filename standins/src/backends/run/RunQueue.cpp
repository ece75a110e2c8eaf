#include "backends/run/RunQueue.h"

#include "core/invariant/Invariant.h"

#include <algorithm>
#include <utility>

namespace carawaypond::standins {

Admission RunQueue::submit(const std::string &Id, WallMillis Deadline,
                           WallMillis Now) {
  auto Known = m_States.find(Id);
  if (Known != m_States.end())
    return Known->second == State::Cancelled ? Admission::Cancelled
                                             : Admission::Repeated;
  if (Deadline <= Now)
    return Admission::Expired;
  if (m_Running < m_Options.Slots) {
    ++m_Running;
    m_States.emplace(Id, State::Running);
    return Admission::Started;
  }
  if (m_Waiting.size() >= m_Options.QueueLimit)
    return Admission::Shed;
  m_Waiting.push_back({.Id = Id, .Deadline = Deadline});
  m_States.emplace(Id, State::Queued);
  return Admission::Queued;
}

std::vector<NextRun> RunQueue::finish(const std::string &Id, WallMillis Now) {
  auto Known = m_States.find(Id);
  CARAWAYPOND_INVARIANT(Known != m_States.end() &&
                            Known->second == State::Running,
                        "subrequest " + Id + " finished without running");
  remember(Id, State::Done);
  --m_Running;
  std::vector<NextRun> Left;
  while (m_Running < m_Options.Slots && !m_Waiting.empty()) {
    Waiting Next = std::move(m_Waiting.front());
    m_Waiting.pop_front();
    bool Expired = Next.Deadline <= Now;
    if (Expired)
      remember(Next.Id, State::Cancelled);
    else
      m_States[Next.Id] = State::Running;
    m_Running += Expired ? 0 : 1;
    Left.push_back({.Id = std::move(Next.Id), .Expired = Expired});
  }
  CARAWAYPOND_INVARIANT(m_Running <= m_Options.Slots,
                        "more subrequests run than there are slots");
  return Left;
}

CancelState RunQueue::cancel(const std::string &Id) {
  auto Known = m_States.find(Id);
  if (Known == m_States.end())
    return CancelState::Unknown;
  switch (Known->second) {
  case State::Running:
    return CancelState::Running;
  case State::Done:
    return CancelState::Done;
  case State::Cancelled:
    return CancelState::NotStarted;
  case State::Queued:
    break;
  }
  std::erase_if(m_Waiting, [&](const Waiting &W) { return W.Id == Id; });
  remember(Id, State::Cancelled);
  return CancelState::NotStarted;
}

void RunQueue::remember(const std::string &Id, State Last) {
  m_States[Id] = Last;
  m_Remembered.push_back(Id);
  if (m_Remembered.size() <= m_Options.RememberedIds)
    return;
  m_States.erase(m_Remembered.front());
  m_Remembered.pop_front();
}

} // namespace carawaypond::standins
