#include "gateway/overload/AdmissionGate.h"

#include <algorithm>

namespace carawaypond::gateway {

using boost::asio::awaitable;

awaitable<std::optional<AdmittedRequest>>
AdmissionGate::admit(std::vector<ServiceName> Services,
                     AdmissionRequest Request) {
  Target &Chosen = m_Control.find(Services);
  TargetAdmission &Admission = Chosen.second;
  AdmissionTicket Ticket = Admission.ask(Request, monotonicNow());
  checkLimit(Chosen);
  if (Ticket.Decision == AdmissionDecision::Waiting)
    ++m_Counters.AdmissionWaits;
  // Requests that wait may have been displaced.
  m_Signal.notify();
  while (Ticket.Decision == AdmissionDecision::Waiting) {
    TimePoint Next = Admission.nextDecision(monotonicNow());
    co_await m_Signal.wait(m_Context, std::min(Next, Request.WaitsUntil));
    Ticket.Decision = Admission.decide(Ticket.Number, monotonicNow());
  }
  if (Ticket.Decision == AdmissionDecision::Refused) {
    ++m_Counters.AdmissionRefused;
    co_return std::nullopt;
  }
  co_return AdmittedRequest{.Target = &Chosen, .Workspace = Request.Workspace};
}

void AdmissionGate::end(const AdmittedRequest &Ended,
                        const std::optional<LoadSample> &Sample) {
  Ended.Target->second.onEnded(Ended.Workspace, Sample ? &*Sample : nullptr,
                               monotonicNow());
  checkLimit(*Ended.Target);
}

void AdmissionGate::update() {
  m_Control.update(monotonicNow());
  m_Counters.DemandHigh = m_Control.isDemandHigh(monotonicNow()) ? 1 : 0;
  for (const Target &Each : m_Control.targets())
    checkLimit(Each);
}

void AdmissionGate::checkLimit(const Target &Of) {
  const AdmissionRate &Rate = Of.second.rate();
  bool WasLimited = m_Limited.contains(&Of);
  if (Rate.isInForce() == WasLimited)
    return;
  LogLine Line(WasLimited ? "overload_ended" : "overload_began");
  Line.add("target", describe(Of.first));
  if (WasLimited) {
    m_Limited.erase(&Of);
    m_Signal.notify();
  } else {
    ++m_Counters.Overloads;
    m_Limited.insert(&Of);
    double Limit = Rate.perSecond(monotonicNow());
    Line.add("limit_per_minute", static_cast<std::uint64_t>(Limit * 60));
  }
  m_Counters.OverloadedTargets = m_Limited.size();
  m_Log.write(Line);
}

} // namespace carawaypond::gateway
