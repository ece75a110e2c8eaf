#include "coordination/freshness/Freshness.h"

#include "coordination/internal/Mutant.h"
#include "core/invariant/Invariant.h"

#include <algorithm>
#include <limits>

namespace carawaypond {

namespace {

constexpr std::uint64_t NeverMillis = std::numeric_limits<std::uint32_t>::max();

std::uint64_t toMillis(Milliseconds Span) {
  return static_cast<std::uint64_t>(std::max(Span, Milliseconds(0)).count());
}

} // namespace

bool Freshness::mayServe(TimePoint Now) const {
  if (internal::isMutant(internal::Mutant::ServeUnconfirmed))
    return m_FirstServed.has_value();
  return m_ServeUntil && Now <= *m_ServeUntil;
}

bool Freshness::maySubmit(std::optional<TimePoint> MajorityAsOf, bool IsAlone,
                          TimePoint Now) const {
  if (!mayServe(Now))
    return false;
  return IsAlone ||
         (MajorityAsOf && Now - *MajorityAsOf <= m_Options.SubmitWindow);
}

void Freshness::fill(Digest &Out, TimePoint Now) const {
  Out.StoreReachable = !isStoreSilent(Now);
  Out.StoreAgeMillis =
      m_StoreAsOf
          ? toMillis(std::chrono::ceil<Milliseconds>(Now - *m_StoreAsOf))
          : NeverMillis;
  Out.ServeMillis =
      m_ServeUntil
          ? toMillis(std::chrono::floor<Milliseconds>(*m_ServeUntil - Now))
          : 0;
  Out.Informed = isInformed();
}

void Freshness::onStoreList(TimePoint SentAt, TimePoint Now) {
  CARAWAYPOND_INVARIANT(SentAt <= Now, "list received before it was requested");
  m_StoreAsOf = std::max(m_StoreAsOf.value_or(SentAt), SentAt);
  extend(SentAt + m_Options.Bound, Now);
}

void Freshness::onReply(const Digest &Reply, bool Covers, TimePoint SentAt,
                        TimePoint Now) {
  CARAWAYPOND_INVARIANT(SentAt <= Now,
                        "reply received before its request was sent");
  if (Reply.StoreAgeMillis < NeverMillis) {
    TimePoint AsOf = SentAt - Milliseconds(Reply.StoreAgeMillis);
    m_StoreAsOf = std::max(m_StoreAsOf.value_or(AsOf), AsOf);
  }
  Milliseconds Left(std::min(Reply.ServeMillis, toMillis(m_Options.Bound)));
  if (Covers && Left.count() > 0)
    extend(SentAt + Left, Now);
}

void Freshness::tick(std::optional<TimePoint> MajorityAsOf, TimePoint Now) {
  if (internal::isMutant(internal::Mutant::ForgetMajority))
    return;
  if (m_Informed && MajorityAsOf)
    extend(*MajorityAsOf + m_Options.Bound, Now);
  // A lease that is still valid this long after the first one rests on evidence
  // from after this VM's start.
  m_Informed = m_Informed || (m_FirstServed && mayServe(Now) &&
                              Now - *m_FirstServed > m_Options.Bound);
}

void Freshness::extend(TimePoint Until, TimePoint Now) {
  m_ServeUntil = std::max(m_ServeUntil.value_or(Until), Until);
  CARAWAYPOND_INVARIANT(*m_ServeUntil <= Now + m_Options.Bound,
                        "serving lease exceeds its bound");
  if (!m_FirstServed && mayServe(Now))
    m_FirstServed = Now;
}

bool Freshness::isStoreSilent(TimePoint Now) const {
  return !m_StoreAsOf || Now - *m_StoreAsOf > m_Options.StoreSilence;
}

} // namespace carawaypond
