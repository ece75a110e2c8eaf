#include "coordination/overload/TargetAdmission.h"

namespace carawaypond {

TimePoint TargetAdmission::nextDecision(TimePoint Now) const {
  auto Order = m_Queue.ordered();
  if (Order.empty())
    return TimePoint::max();
  return Now + m_Rate.untilNext(Order.front().Request.Priority, 0, Now);
}

AdmissionTicket TargetAdmission::ask(const AdmissionRequest &Request,
                                     TimePoint Now) {
  m_Rate.onAsked(Now);
  m_Rate.update(Now);
  std::uint64_t Number = m_NextNumber++;
  m_Queue.add({.Number = Number, .Request = Request});
  return {.Decision = decide(Number, Now), .Number = Number};
}

AdmissionDecision TargetAdmission::decide(std::uint64_t Number, TimePoint Now) {
  settle(Now);
  if (m_Started.erase(Number) > 0)
    return AdmissionDecision::Started;
  return m_Queue.contains(Number) ? AdmissionDecision::Waiting
                                  : AdmissionDecision::Refused;
}

void TargetAdmission::settle(TimePoint Now) {
  std::size_t Ahead = 0;
  for (const AdmissionQueue::Entry &Each : m_Queue.ordered()) {
    Duration Wait = m_Rate.untilNext(Each.Request.Priority, Ahead, Now);
    if (Wait == Duration(0))
      start(Each, Now);
    else if (Now + Wait > Each.Request.WaitsUntil)
      m_Queue.erase(Each.Number);
    else
      ++Ahead;
  }
}

void TargetAdmission::start(const AdmissionQueue::Entry &Waiting,
                            TimePoint Now) {
  m_Queue.erase(Waiting.Number);
  m_Queue.onStarted(Waiting.Request.Workspace);
  m_Rate.onStarted(Now);
  m_Started.insert(Waiting.Number);
}

void TargetAdmission::onEnded(const WorkspaceName &Of, const LoadSample *Sample,
                              TimePoint Now) {
  m_Queue.onEnded(Of);
  if (Sample != nullptr)
    m_Rate.onEnded(*Sample, Now);
}

} // namespace carawaypond
