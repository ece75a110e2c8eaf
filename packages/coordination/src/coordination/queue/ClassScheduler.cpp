#include "coordination/queue/ClassScheduler.h"

#include <algorithm>

namespace carawaypond {

namespace {

/// Share of a class that is not in the service's configuration.
constexpr double DefaultShare = 0.1;
constexpr double MinShare = 0.001;
/// How far a class's virtual time may be ahead of the class that is furthest
/// behind, in sends at share 1, before it is ordered by share instead of by
/// deadline.
constexpr double MaxLead = 8;
/// Maximum number of a class's subrequests that are scanned for one that can be
/// sent.
constexpr std::size_t MaxScan = 16;

} // namespace

ClassScheduler::ClassScheduler(const std::vector<ClassShare> &Shares) {
  setShares(Shares);
}

void ClassScheduler::setShares(const std::vector<ClassShare> &Shares) {
  for (auto &[Name, Class] : m_Classes)
    Class.Share = DefaultShare;
  for (const ClassShare &Class : Shares)
    m_Classes[Class.Name].Share = std::max(Class.Share, MinShare);
}

ClassScheduler::ClassQueue &ClassScheduler::queueOf(const ClassName &Class) {
  auto Found = m_Classes.find(Class);
  if (Found != m_Classes.end())
    return Found->second;
  ClassQueue &Added = m_Classes[Class];
  Added.Share = DefaultShare;
  return Added;
}

void ClassScheduler::push(const ClassName &Class, TimePoint Deadline,
                          SubrequestId Id) {
  ClassQueue &Queue = queueOf(Class);
  if (Queue.Waiting.empty())
    Queue.VirtualTime = std::max(Queue.VirtualTime, m_VirtualTime);
  if (Queue.Waiting.emplace(Deadline, Id).second)
    ++m_Size;
}

void ClassScheduler::erase(const ClassName &Class, TimePoint Deadline,
                           SubrequestId Id) {
  m_Size -= queueOf(Class).Waiting.erase({Deadline, Id});
}

std::vector<ClassScheduler::ClassQueue *> ClassScheduler::order() {
  std::vector<ClassQueue *> Backlogged;
  for (auto &[Name, Queue] : m_Classes)
    if (!Queue.Waiting.empty())
      Backlogged.push_back(&Queue);
  if (Backlogged.size() < 2)
    return Backlogged;
  auto IsBehind = [](const ClassQueue *Left, const ClassQueue *Right) {
    return Left->VirtualTime < Right->VirtualTime;
  };
  std::sort(Backlogged.begin(), Backlogged.end(), IsBehind);
  double Limit = Backlogged.front()->VirtualTime + MaxLead;
  auto FirstAhead = std::find_if(
      Backlogged.begin(), Backlogged.end(),
      [&](const ClassQueue *Queue) { return Queue->VirtualTime > Limit; });
  auto IsDueBefore = [](const ClassQueue *Left, const ClassQueue *Right) {
    return *Left->Waiting.begin() < *Right->Waiting.begin();
  };
  std::sort(Backlogged.begin(), FirstAhead, IsDueBefore);
  return Backlogged;
}

std::optional<SubrequestId>
ClassScheduler::popFrom(ClassQueue &Queue, const SendPredicate &CanSend) {
  std::size_t Scanned = 0;
  for (auto It = Queue.Waiting.begin();
       It != Queue.Waiting.end() && Scanned < MaxScan; ++It, ++Scanned) {
    if (!CanSend(It->second))
      continue;
    SubrequestId Id = It->second;
    Queue.Waiting.erase(It);
    --m_Size;
    m_VirtualTime = std::max(m_VirtualTime, Queue.VirtualTime);
    Queue.VirtualTime += 1 / Queue.Share;
    return Id;
  }
  return std::nullopt;
}

std::optional<SubrequestId>
ClassScheduler::popFirst(const SendPredicate &CanSend) {
  for (ClassQueue *Queue : order()) {
    std::optional<SubrequestId> Id = popFrom(*Queue, CanSend);
    if (Id)
      return Id;
  }
  return std::nullopt;
}

} // namespace carawaypond
