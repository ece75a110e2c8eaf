#include "coordination/quota/QuotaAllocator.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace carawaypond {

namespace {

using Seconds = std::chrono::duration<double>;

/// Longer times to earn a token are cut, as they may not fit into Duration.
constexpr Seconds MaxEarnTime{3'600};

Duration fromSeconds(double Count) {
  return std::chrono::duration_cast<Duration>(Seconds(Count));
}

/// At least one token fits, or a workspace without a burst could send nothing.
double bucketSize(const Workspace &Of) { return std::max(Of.Burst, 1.0); }

std::uint64_t wholeTokens(double Tokens) {
  return Tokens >= 1 ? static_cast<std::uint64_t>(Tokens) : 0;
}

} // namespace

void QuotaAllocator::setLimits(const WorkspaceTable &Table, BootTime Now) {
  eraseRemoved(Now);
  for (auto &[Name, Each] : m_Quotas) {
    const Workspace *Known = Table.find(Name);
    bool IsLimited = Known != nullptr && Known->hasQuota();
    if (!IsLimited && !Each.RemovedAt)
      Each.RemovedAt = Now;
  }
  for (const Workspace &Each : Table.workspaces()) {
    if (!Each.hasQuota())
      continue;
    auto [Found, IsNew] = m_Quotas.try_emplace(Each.Name);
    Quota &Into = Found->second;
    if (IsNew) {
      Into.Limits = Each;
      Into.Tokens = m_IsFirst ? bucketSize(Each) : 0;
      Into.UpdatedAt = Now;
    }
    Into.RemovedAt.reset();
    refill(Into, Now);
    Into.Limits = Each;
    Into.Tokens = std::min(Into.Tokens, bucketSize(Each));
  }
}

void QuotaAllocator::eraseRemoved(BootTime Now) {
  // Tokens that were granted before the removal may still be spent for their
  // lifetime, and count in windows that begin by then.
  Milliseconds KeptFor = m_Options.TokenLifetime + m_Options.Window;
  std::erase_if(m_Quotas, [&](const auto &Each) {
    const auto &RemovedAt = Each.second.RemovedAt;
    return RemovedAt && Now >= *RemovedAt + KeptFor;
  });
}

void QuotaAllocator::refill(Quota &Into, BootTime Now) {
  double Earned =
      Into.Limits.RequestRate * Seconds(Now - Into.UpdatedAt).count();
  Into.Tokens =
      std::min(Into.Tokens + std::max(Earned, 0.0), bucketSize(Into.Limits));
  Into.UpdatedAt = Now;
}

void QuotaAllocator::expireHoldings(Quota &Of, BootTime Now) {
  std::erase_if(Of.Holdings, [&](const auto &Each) {
    if (Now < Each.second.ExpiresAt)
      return false;
    Of.Tokens -= static_cast<double>(Each.second.Tokens);
    return true;
  });
}

double QuotaAllocator::overdraft(const Quota &Of, BootTime Now) const {
  double Full = m_Options.overdraft(Of.Limits);
  if (m_IsFirst)
    return Full;
  double Grown = Seconds(Now - m_StartedAt) / Seconds(m_Options.Window);
  return Full * std::clamp(Grown, 0.0, 1.0);
}

double QuotaAllocator::availableTokens(const Quota &Of, BootTime Now) const {
  double Held = 0;
  for (const auto &[Vm, Each] : Of.Holdings)
    Held += static_cast<double>(Each.Tokens);
  return Of.Tokens - Held + overdraft(Of, Now);
}

Milliseconds QuotaAllocator::holdingTime() const {
  return m_Options.TokenLifetime + m_Options.ReportTime;
}

void QuotaAllocator::forgetSilentVms(BootTime Now) {
  // Once in this time, as every call would else visit every VM.
  if (Now < m_ForgottenAt + holdingTime())
    return;
  m_ForgottenAt = Now;
  eraseRemoved(Now);
  std::erase_if(m_LatestCalls, [&](const auto &Each) {
    return Now >= Each.second.ReceivedAt + holdingTime();
  });
  for (auto &[Name, Each] : m_Quotas) {
    refill(Each, Now);
    expireHoldings(Each, Now);
  }
}

bool QuotaAllocator::recordCall(const QuotaCall &Call, BootTime Now) {
  LatestCall &Latest = m_LatestCalls[Call.Vm];
  bool IsSame = Latest.IncarnationNumber == Call.IncarnationNumber;
  if (IsSame && Call.Number <= Latest.Number)
    return false;
  Latest = {.IncarnationNumber = Call.IncarnationNumber,
            .Number = Call.Number,
            .ReceivedAt = Now};
  return true;
}

QuotaAnswer QuotaAllocator::handleCall(const QuotaCall &Call, BootTime Now) {
  QuotaAnswer Answer{.IsAllocator = true, .Known = {}, .Grants = {}};
  forgetSilentVms(Now);
  // The VM no longer awaits the answer to an earlier call, and holds something
  // else by now.
  if (!recordCall(Call, Now))
    return Answer;
  for (const QuotaUse &Each : Call.Uses) {
    auto Found = m_Quotas.find(Each.Workspace);
    if (Found != m_Quotas.end() && !Found->second.RemovedAt)
      Answer.Grants.push_back(grant(Found->second, Call, Each, Now));
    else
      Answer.Grants.push_back({.Workspace = Each.Workspace,
                               .Tokens = 0,
                               .RetryAfter = m_Options.UnknownWorkspaceRetry});
  }
  return Answer;
}

void QuotaAllocator::chargeSpent(Quota &To, const QuotaCall &Call,
                                 const QuotaUse &Use) {
  Holding &Before = To.Holdings[Call.Vm];
  if (Before.IncarnationNumber != Call.IncarnationNumber) {
    To.Tokens -= static_cast<double>(Before.Tokens);
    Before = {.IncarnationNumber = Call.IncarnationNumber};
  }
  std::uint64_t Received = Before.Tokens;
  if (Before.LatestCall > Call.Answered)
    Received -= Before.LatestGrant;
  std::uint64_t Unused = Use.Held + Use.Returned;
  // A VM that holds more than was granted here has it of an earlier allocator.
  if (Received > Unused)
    To.Tokens -= static_cast<double>(Received - Unused);
  Before.Tokens = Use.Held;
  Before.LatestGrant = 0;
}

QuotaGrant QuotaAllocator::grant(Quota &From, const QuotaCall &Call,
                                 const QuotaUse &Use, BootTime Now) {
  refill(From, Now);
  expireHoldings(From, Now);
  chargeSpent(From, Call, Use);
  Holding &Held = From.Holdings[Call.Vm];
  double Available = availableTokens(From, Now);
  std::uint64_t Tokens = std::min(Use.Waiting, wholeTokens(Available));
  // Tokens in advance leave some for requests that wait elsewhere.
  double Spare = Available - static_cast<double>(Tokens) -
                 m_Options.ReservedShare * m_Options.overdraft(From.Limits);
  if (Use.Wanted > Use.Waiting)
    Tokens += std::min(Use.Wanted - Use.Waiting, wholeTokens(Spare));
  Held.Tokens += Tokens;
  Held.LatestGrant = Tokens;
  Held.LatestCall = Call.Number;
  Held.ExpiresAt = Now + holdingTime();
  QuotaGrant Granted{
      .Workspace = Use.Workspace, .Tokens = Tokens, .RetryAfter = {}};
  if (Tokens < Use.Waiting)
    Granted.RetryAfter = retryAfter(From, Use.Waiting - Tokens, Now);
  return Granted;
}

Milliseconds QuotaAllocator::retryAfter(Quota &Of, std::uint64_t Missing,
                                        BootTime Now) const {
  double Rate = Of.Limits.RequestRate;
  double Lacking = std::max(1 - availableTokens(Of, Now), 0.0);
  BootTime Earned =
      Now + fromSeconds(std::min(Lacking / Rate, MaxEarnTime.count()));
  BootTime Return = std::max(Earned, Of.NextReturn);
  auto Delay = std::chrono::ceil<Milliseconds>(Return - Now);
  // Callers that are refused return one after the other, at the rate.
  if (Delay < m_Options.MaxRetry)
    Of.NextReturn = Return + fromSeconds(static_cast<double>(Missing) / Rate);
  return std::clamp(Delay, m_Options.MinRetry, m_Options.MaxRetry);
}

} // namespace carawaypond
