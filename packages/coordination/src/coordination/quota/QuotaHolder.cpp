#include "coordination/quota/QuotaHolder.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace carawaypond {

namespace {

using Seconds = std::chrono::duration<double>;

/// Time constant of the rate of requests.
constexpr Seconds RateTime{3};
/// Slower workspaces get no token in advance: it would mostly expire. The rate
/// of a single request stays above it for 3.6 s.
constexpr double MinPrefetchRate = 0.1;
/// Tokens are requested once the VM holds at most this share of its target.
constexpr double RequestShare = 0.5;
/// Tokens are given back once the VM holds more than this many times what it
/// needs, and one: fewer are soon used.
constexpr std::uint64_t ReturnFactor = 2;

} // namespace

void QuotaHolder::retain(const WorkspaceTable &Configured) {
  std::erase_if(m_Workspaces, [&](const auto &Each) {
    const Workspace *Known = Configured.find(Each.first);
    return Known == nullptr || !Known->hasQuota();
  });
  for (const Workspace &Each : Configured.workspaces())
    if (Each.hasQuota())
      m_Workspaces.try_emplace(Each.Name);
}

void QuotaHolder::beginWait(const WorkspaceName &Of) {
  auto Found = m_Workspaces.find(Of);
  if (Found != m_Workspaces.end())
    ++Found->second.Waiting;
}

void QuotaHolder::endWait(const WorkspaceName &Of) {
  auto Found = m_Workspaces.find(Of);
  // The workspace may have been removed and added again since beginWait().
  if (Found != m_Workspaces.end() && Found->second.Waiting > 0)
    --Found->second.Waiting;
}

std::uint64_t QuotaHolder::countTokens(const WorkspaceState &Of, BootTime Now) {
  std::uint64_t Sum = 0;
  for (const Batch &Each : Of.Batches)
    if (Now < Each.ExpiresAt)
      Sum += Each.Tokens;
  return Sum;
}

std::uint64_t QuotaHolder::heldTokens(const WorkspaceName &Of,
                                      BootTime Now) const {
  auto Found = m_Workspaces.find(Of);
  return Found == m_Workspaces.end() ? 0 : countTokens(Found->second, Now);
}

Milliseconds QuotaHolder::retryAfter(const WorkspaceName &Of,
                                     BootTime Now) const {
  auto Found = m_Workspaces.find(Of);
  if (Found == m_Workspaces.end() || !Found->second.EmptyUntil)
    return m_Options.MinRetry;
  auto Left = std::chrono::ceil<Milliseconds>(*Found->second.EmptyUntil - Now);
  return std::max(Left, m_Options.MinRetry);
}

void QuotaHolder::expire(WorkspaceState &Of, BootTime Now) {
  while (!Of.Batches.empty() && (Now >= Of.Batches.front().ExpiresAt ||
                                 Of.Batches.front().Tokens == 0)) {
    Of.Expired += Of.Batches.front().Tokens;
    if (Of.Batches.front().Tokens > 0)
      markUnreported(Of, Now);
    Of.Batches.pop_front();
  }
}

void QuotaHolder::markUnreported(WorkspaceState &Of, BootTime Now) {
  if (!Of.HasUnreported)
    Of.ReportedAt = Now;
  Of.HasUnreported = true;
}

void QuotaHolder::updateRate(WorkspaceState &Of, BootTime Now) {
  double Decay = std::exp(-(Seconds(Now - Of.RateAt) / RateTime));
  Of.Rate = Of.Rate * Decay + 1 / RateTime.count();
  Of.RateAt = Now;
}

QuotaDecision QuotaHolder::spend(const WorkspaceName &Of, bool IsNew,
                                 BootTime Now) {
  auto Found = m_Workspaces.find(Of);
  if (Found == m_Workspaces.end())
    return QuotaDecision::Unknown;
  WorkspaceState &State = Found->second;
  if (IsNew)
    updateRate(State, Now);
  expire(State, Now);
  if (!State.Batches.empty()) {
    --State.Batches.front().Tokens;
    m_Spent = {.Workspace = Of,
               .ExpiresAt = State.Batches.front().ExpiresAt,
               .Calls = m_Calls};
    markUnreported(State, Now);
    return QuotaDecision::Granted;
  }
  if (State.EmptyUntil && Now < *State.EmptyUntil)
    return QuotaDecision::Refused;
  return QuotaDecision::Waiting;
}

void QuotaHolder::returnToken(const QuotaToken &Token, BootTime Now) {
  if (Token.Calls != m_Calls || Now >= Token.ExpiresAt)
    return;
  auto Found = m_Workspaces.find(Token.Workspace);
  if (Found == m_Workspaces.end())
    return;
  Found->second.Batches.push_front({.Tokens = 1, .ExpiresAt = Token.ExpiresAt});
}

std::uint64_t QuotaHolder::prefetchTarget(const WorkspaceState &Of,
                                          BootTime Now) const {
  double Rate = Of.Rate * std::exp(-(Seconds(Now - Of.RateAt) / RateTime));
  if (Rate < MinPrefetchRate)
    return 0;
  double Tokens = std::ceil(Rate * Seconds(m_Options.Prefetch).count());
  return std::min(static_cast<std::uint64_t>(Tokens), m_Options.MaxPrefetch);
}

std::uint64_t QuotaHolder::removeTokens(WorkspaceState &From,
                                        std::uint64_t Count) {
  std::uint64_t Taken = 0;
  while (Taken < Count && !From.Batches.empty()) {
    Batch &First = From.Batches.front();
    std::uint64_t Part = std::min(First.Tokens, Count - Taken);
    First.Tokens -= Part;
    Taken += Part;
    if (First.Tokens == 0)
      From.Batches.pop_front();
  }
  return Taken;
}

std::optional<QuotaUse> QuotaHolder::reportIfDue(const WorkspaceName &Name,
                                                 WorkspaceState &Of,
                                                 BootTime Now) const {
  expire(Of, Now);
  std::uint64_t Held = countTokens(Of, Now);
  std::uint64_t Needed = Of.Waiting + prefetchTarget(Of, Now);
  bool IsEmpty = Of.EmptyUntil && Now < *Of.EmptyUntil;
  bool IsWanted = Needed > Held && !IsEmpty;
  double RequestBelow =
      RequestShare * static_cast<double>(prefetchTarget(Of, Now));
  bool IsUrgent = Of.Waiting > 0 || static_cast<double>(Held) <= RequestBelow;
  bool IsReportDue =
      Of.HasUnreported && Now >= Of.ReportedAt + m_Options.ReportDelay;
  if (!(IsWanted && IsUrgent) && !IsReportDue)
    return std::nullopt;
  QuotaUse Report{.Workspace = Name,
                  .Held = Held,
                  .Returned = 0,
                  .Wanted = IsWanted ? Needed - Held : 0,
                  .Waiting = IsWanted ? Of.Waiting : 0};
  if (Held > ReturnFactor * Needed + 1) {
    Report.Returned = removeTokens(Of, Held - Needed);
    Report.Held -= Report.Returned;
  }
  Report.Returned += std::exchange(Of.Expired, 0);
  Of.HasUnreported = false;
  return Report;
}

void QuotaHolder::addUses(QuotaCall &To, bool AreWaiting, BootTime Now) {
  for (auto &[Name, Each] : m_Workspaces) {
    if (To.Uses.size() >= m_Options.MaxUsesPerCall)
      return;
    if ((Each.Waiting > 0) != AreWaiting)
      continue;
    if (auto Report = reportIfDue(Name, Each, Now))
      To.Uses.push_back(std::move(*Report));
  }
}

std::optional<QuotaCall> QuotaHolder::nextCall(BootTime Now) {
  if (m_CalledAt)
    return std::nullopt;
  QuotaCall Call{.Vm = m_Self,
                 .IncarnationNumber = m_Incarnation,
                 .Number = m_Calls + 1,
                 .Answered = m_Answered,
                 .Uses = {}};
  addUses(Call, true, Now);
  addUses(Call, false, Now);
  if (Call.Uses.empty())
    return std::nullopt;
  ++m_Calls;
  m_CalledAt = Now;
  return Call;
}

void QuotaHolder::onAnswer(const QuotaAnswer &Answer, BootTime Now) {
  if (!m_CalledAt)
    return;
  BootTime ExpiresAt = *m_CalledAt + m_Options.TokenLifetime;
  m_CalledAt.reset();
  m_Answered = m_Calls;
  for (const QuotaGrant &Each : Answer.Grants) {
    auto Found = m_Workspaces.find(Each.Workspace);
    if (Found == m_Workspaces.end())
      continue;
    WorkspaceState &State = Found->second;
    if (Each.Tokens > 0)
      State.Batches.push_back({.Tokens = Each.Tokens, .ExpiresAt = ExpiresAt});
    State.EmptyUntil.reset();
    if (Each.RetryAfter)
      State.EmptyUntil = Now + *Each.RetryAfter;
  }
}

} // namespace carawaypond
