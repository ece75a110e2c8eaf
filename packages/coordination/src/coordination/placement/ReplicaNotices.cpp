#include "coordination/placement/ReplicaNotices.h"

#include <algorithm>

namespace carawaypond {

namespace {

/// Requests per second that all VMs together send at least to a replica that
/// names a limit, so that they learn of its end.
constexpr double MinRate = 0.5;
/// Requests per second up to which VMs take turns. Above it, tokens that expire
/// would leave much of the limit unused.
constexpr double MaxRotatingRate = 1;

} // namespace

bool ReplicaNotices::hasRoom(TimePoint Now, double Reserve) const {
  struct Visitor {
    TimePoint Now;
    double Reserve;

    bool operator()(std::monostate) const { return true; }
    bool operator()(const TokenBucket &Of) const {
      return Of.available(Now) >= 1 + Reserve;
    }
    bool operator()(const RotatingTokens &Of) const {
      return Of.hasRoom(Now, Reserve);
    }
  };
  return std::visit(Visitor{.Now = Now, .Reserve = Reserve}, m_Tokens);
}

Duration ReplicaNotices::untilAllowed(TimePoint Now) const {
  struct Visitor {
    TimePoint Now;

    Duration operator()(std::monostate) const { return Duration(0); }
    Duration operator()(const TokenBucket &Of) const {
      return Of.untilNext(Now);
    }
    Duration operator()(const RotatingTokens &Of) const {
      return Of.untilNext(Now);
    }
  };
  Duration Pause = std::max(m_PausedUntil - Now, Duration(0));
  return std::max(Pause, std::visit(Visitor{.Now = Now}, m_Tokens));
}

bool ReplicaNotices::apply(const ReplicaNotice &Told, const LimitShare &Own,
                           TimePoint Now) {
  bool HasChanged = false;
  if (Told.IsLeaving && !m_IsLeaving) {
    m_IsLeaving = true;
    HasChanged = true;
  }
  if (Told.RetryAfter && Now + *Told.RetryAfter > m_PausedUntil) {
    m_PausedUntil = Now + *Told.RetryAfter;
    HasChanged = true;
  }
  return applyLimit(Told, Own, Now) || HasChanged;
}

void ReplicaNotices::limitByBucket(double PerSecond, double Phase,
                                   TimePoint Now) {
  if (auto *Bucket = std::get_if<TokenBucket>(&m_Tokens))
    Bucket->setRate(PerSecond, Now);
  else
    m_Tokens.emplace<TokenBucket>(PerSecond, -Phase, Now);
}

void ReplicaNotices::limitByRotation(double PerSecond, const LimitShare &Own,
                                     TimePoint Now) {
  if (auto *Rotation = std::get_if<RotatingTokens>(&m_Tokens))
    Rotation->setRate(PerSecond, Own.Turn);
  else
    m_Tokens.emplace<RotatingTokens>(PerSecond, Own.Turn, Own.Epoch, Now);
}

void ReplicaNotices::setShare(const LimitShare &Own, TimePoint Now) {
  if (!m_Limit)
    return;
  double PerSecond = std::max(*m_Limit, MinRate);
  if (PerSecond <= MaxRotatingRate)
    limitByRotation(PerSecond, Own, Now);
  else
    limitByBucket(PerSecond * Own.Part, Own.Phase, Now);
}

bool ReplicaNotices::applyLimit(const ReplicaNotice &Told,
                                const LimitShare &Own, TimePoint Now) {
  auto Before = m_Limit;
  if (Told.Limit) {
    m_Limit = Told.Limit;
    setShare(Own, Now);
  } else if (Told.EndsLimit) {
    m_Tokens = std::monostate();
    m_Limit.reset();
  }
  return m_Limit != Before;
}

void ReplicaNotices::onSent(TimePoint Now) {
  if (auto *Bucket = std::get_if<TokenBucket>(&m_Tokens))
    Bucket->take(Now);
  if (auto *Rotation = std::get_if<RotatingTokens>(&m_Tokens))
    Rotation->take(Now);
}

void ReplicaNotices::onUnsent(TimePoint Now) {
  if (auto *Bucket = std::get_if<TokenBucket>(&m_Tokens))
    Bucket->giveBack(Now);
  if (auto *Rotation = std::get_if<RotatingTokens>(&m_Tokens))
    Rotation->giveBack(Now);
}

} // namespace carawaypond
