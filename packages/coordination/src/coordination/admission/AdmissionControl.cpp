#include "coordination/admission/AdmissionControl.h"

#include "core/invariant/Invariant.h"

#include <algorithm>

namespace carawaypond {

namespace {

/// How long after its last query a class's share stays reserved for it.
constexpr auto ClassActiveFor = std::chrono::seconds(1);
/// Time in which the weight of a reported wait falls linearly from 1 to 0.
constexpr Duration WaitReportLifetime = Milliseconds(200);
/// Maximum of a reported wait; longer ones are reduced to it.
constexpr Duration MaxWait = std::chrono::seconds(30);

} // namespace

AdmissionControl::AdmissionControl(const AdmissionOptions &Options)
    : m_Limit(Options.ConcurrentQueries) {
  setShares(Options.Classes);
}

void AdmissionControl::setShares(const std::vector<ClassShare> &Classes) {
  double Sum = 0;
  for (const ClassShare &Class : Classes)
    Sum += Class.Share;
  for (auto &[Name, Use] : m_Classes)
    Use.Share = 0;
  for (const ClassShare &Class : Classes)
    m_Classes[Class.Name].Share = Class.Share / std::max(1.0, Sum);
}

void AdmissionControl::reconfigure(const AdmissionOptions &Options) {
  m_Limit.setMax(Options.ConcurrentQueries);
  setShares(Options.Classes);
}

Duration AdmissionControl::expectedWait(TimePoint Now) const {
  Duration Age = Now - m_WaitReportedAt;
  if (m_ReportedWait == Duration::zero() || Age >= WaitReportLifetime)
    return Duration::zero();
  double Kept = std::chrono::duration<double>(WaitReportLifetime - Age) /
                std::chrono::duration<double>(WaitReportLifetime);
  return std::chrono::duration_cast<Duration>(m_ReportedWait * Kept);
}

void AdmissionControl::noteExpectedWait(Duration Wait, TimePoint Now) {
  bool IsLonger = Wait >= expectedWait(Now);
  if (!IsLonger)
    return;
  m_ReportedWait = std::min(Wait, MaxWait);
  m_WaitReportedAt = Now;
}

std::uint32_t AdmissionControl::guaranteed(const ClassUse &Use) const {
  return static_cast<std::uint32_t>(Use.Share * limit());
}

std::uint32_t AdmissionControl::reservedForOthers(const ClassUse &Use,
                                                  TimePoint Now) const {
  std::uint32_t Reserved = 0;
  for (const auto &[Name, Other] : m_Classes) {
    bool IsActive = Other.LastAsked && Now - *Other.LastAsked < ClassActiveFor;
    std::uint32_t Part = guaranteed(Other);
    if (&Other != &Use && IsActive && Other.InUse < Part)
      Reserved += Part - Other.InUse;
  }
  return Reserved;
}

AdmissionDecision AdmissionControl::admit(const ClassName &Class,
                                          TimePoint Deadline, TimePoint Now) {
  ClassUse &Use = m_Classes[Class];
  Use.LastAsked = Now;
  if (Deadline <= Now)
    return AdmissionRefused{.Reason = SubReason::Deadline};
  Duration Left = Deadline - Now;
  if (m_InUse > 0 && expectedWait(Now) >= Left)
    return AdmissionRefused{.Reason = SubReason::Overloaded};
  std::uint32_t Reserved =
      Use.InUse < guaranteed(Use) ? 0 : reservedForOthers(Use, Now);
  if (m_InUse + Reserved >= limit())
    return AdmissionRefused{.Reason = SubReason::Overloaded};
  ++m_InUse;
  ++Use.InUse;
  return Admitted{};
}

void AdmissionControl::finished(const ClassName &Class, bool MetDeadline,
                                TimePoint Now) {
  ClassUse &Use = m_Classes[Class];
  CARAWAYPOND_INVARIANT(Use.InUse > 0, "a query of class \"" + Class.value() +
                                           "\" finished twice");
  m_Limit.noteFinished(MetDeadline, m_InUse, Now);
  --Use.InUse;
  --m_InUse;
}

} // namespace carawaypond
