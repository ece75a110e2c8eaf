#include "coordination/overload/AdmissionRate.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace carawaypond {

namespace {

/// Part of the shards that a request may miss from which it shows a shortage.
constexpr double ShortStress = 0.8;
/// The same, from which the limit does not grow.
constexpr double HoldStress = 0.45;
/// A single shard may reject because its replicas are leaving.
constexpr double MinMissing = 2;
/// A single failed request may be due to one frozen or leaving replica.
constexpr unsigned MinFailureSeries = 3;
/// Ratio of the recent to the usual demand from which it is high.
constexpr double HighDemand = 1.75;
/// Ratio below which it is usual again.
constexpr double NormalDemand = 1.25;
/// Requests per second from which other VMs are told of a high demand. Below,
/// two or three requests by chance are a high ratio.
constexpr double MinToldRate = 3;
/// Requests of this time are not usual yet: a rise shows against those before.
constexpr Milliseconds RecentTime{3'000};
/// Time since the first request before which the usual demand is not known.
constexpr Milliseconds MinHistory{5'000};
constexpr double FirstDecrease = 0.6; ///< Factor, when the limit begins.
constexpr double Decrease = 0.75;     ///< Factor of each further decrease.
constexpr double MinPerSecond = 0.3;  ///< Lowest limit.
constexpr double LinearGrowth = 0.05; ///< Per second since the last decrease.
constexpr double CubicGrowth = 0.02;  ///< Per second cubed since then.
/// Ratio of the limit to the demand at which the limit ends.
constexpr double EndRatio = 1.5;
constexpr Milliseconds MinQuiet{2'000}; ///< Without shortage, before the end.
/// Tokens that the most urgent requests may use in advance. Less urgent ones
/// may use fewer, so that urgent requests find tokens first.
constexpr double UrgentAdvance = 3;
/// Tokens when a limit begins; negative, as the replicas' queues are still
/// full.
constexpr double FirstTokens = -3;

double seconds(Duration Time) {
  return std::chrono::duration<double>(Time).count();
}

double growth(Duration Since) {
  double Seconds = seconds(Since);
  return 1 + LinearGrowth * Seconds + CubicGrowth * std::pow(Seconds, 3);
}

double advance(unsigned Priority) { return UrgentAdvance / (1.0 + Priority); }

} // namespace

double AdmissionRate::perSecond(TimePoint Now) const {
  return m_Limit->PerSecond * growth(Now - m_Limit->GrowsSince);
}

Duration AdmissionRate::untilNext(unsigned Priority, std::size_t Ahead,
                                  TimePoint Now) const {
  if (!m_Limit)
    return Duration(0);
  double Missing = 1.0 + static_cast<double>(Ahead) - advance(Priority) -
                   m_Limit->Tokens.available(Now);
  std::chrono::duration<double> Wait(std::max(0.0, Missing) / perSecond(Now));
  return std::chrono::ceil<Milliseconds>(Wait);
}

void AdmissionRate::onAsked(TimePoint Now) {
  if (!m_FirstAsked)
    m_FirstAsked = Now;
  m_Asked.add(Now);
  if (!m_Limit)
    m_Recent.push_back(Now);
  while (!m_Recent.empty() && m_Recent.front() <= Now - RecentTime) {
    m_Usual.add(m_Recent.front());
    m_Recent.pop_front();
  }
}

std::optional<double> AdmissionRate::usualDemand(TimePoint Now) const {
  if (m_Limit)
    return m_Limit->UsualDemand;
  if (!m_FirstAsked || Now - *m_FirstAsked < MinHistory)
    return m_UsualBefore;
  // The average starts at zero and has seen part of its time constant only.
  double Seen = 1 - std::exp(-seconds(Now - RecentTime - *m_FirstAsked) /
                             seconds(UsualMemory));
  return m_Usual.perSecond(Now - RecentTime) / Seen;
}

bool AdmissionRate::isDemandAbove(double Ratio, TimePoint Now) const {
  auto Usual = usualDemand(Now);
  if (!Usual)
    return m_IsFleetDemandHigh;
  return m_Asked.perSecond(Now) >= Ratio * *Usual;
}

bool AdmissionRate::isDemandHigh(TimePoint Now) const {
  auto Usual = usualDemand(Now);
  double Asked = m_Asked.perSecond(Now);
  return Usual && *Usual > 0 && Asked >= MinToldRate &&
         Asked >= HighDemand * *Usual;
}

void AdmissionRate::onStarted(TimePoint Now) {
  m_Started.add(Now);
  if (!m_Limit)
    return;
  m_Limit->Tokens.take(Now);
  m_Limit->Tokens.setRate(perSecond(Now), Now);
}

bool AdmissionRate::recordSample(const LoadSample &Sample) {
  m_FailureSeries = Sample.isFailure() ? m_FailureSeries + 1 : 0;
  bool IsStressed =
      Sample.missing() >= MinMissing && Sample.stress() >= ShortStress;
  return IsStressed || m_FailureSeries >= MinFailureSeries;
}

void AdmissionRate::onEnded(const LoadSample &Sample, TimePoint Now) {
  bool IsShort = recordSample(Sample);
  if (IsShort && (m_Limit || isDemandAbove(HighDemand, Now))) {
    bool IsKnown = m_Limit && Sample.StartedAt < m_Limit->GrowsSince;
    if (!IsKnown)
      reduce(Now);
    m_Limit->ShortAt = Now;
  } else if (m_Limit && Sample.stress() >= HoldStress) {
    setRate(perSecond(Now), Now);
  }
  update(Now);
}

void AdmissionRate::reduce(TimePoint Now) {
  double Started = m_Started.perSecond(Now);
  if (!m_Limit)
    return setRate(Started * FirstDecrease, Now);
  setRate(std::min(perSecond(Now), Started) * Decrease, Now);
}

void AdmissionRate::setRate(double PerSecond, TimePoint Now) {
  double Rate = std::max(MinPerSecond, PerSecond);
  if (!m_Limit)
    m_Limit = Limit{.PerSecond = Rate,
                    .UsualDemand = usualDemand(Now),
                    .GrowsSince = Now,
                    .ShortAt = Now,
                    .Tokens = TokenBucket(Rate, FirstTokens, Now)};
  m_Limit->PerSecond = Rate;
  m_Limit->GrowsSince = Now;
  m_Limit->Tokens.setRate(Rate, Now);
}

void AdmissionRate::end() {
  m_UsualBefore = m_Limit->UsualDemand;
  m_Limit.reset();
  m_Usual = EventRate(UsualMemory);
  m_Recent.clear();
  m_FirstAsked.reset();
}

void AdmissionRate::update(TimePoint Now) {
  if (!m_Limit)
    return;
  m_Limit->Tokens.setRate(perSecond(Now), Now);
  bool IsQuiet = Now - m_Limit->ShortAt >= MinQuiet;
  bool IsAmple = perSecond(Now) >= EndRatio * m_Asked.perSecond(Now);
  if (!isDemandAbove(NormalDemand, Now) || (IsQuiet && IsAmple))
    end();
}

} // namespace carawaypond
