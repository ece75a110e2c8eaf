#include "coordination/budget/ArrivalBudget.h"

#include <algorithm>
#include <chrono>

namespace carawaypond {

namespace {

/// Share of the budget that is used. The rest is a margin for VMs that have
/// just started, and while VMs disagree on their number.
constexpr double UsedShare = 0.8;

} // namespace

std::int64_t ArrivalBudget::bucketNumber(TimePoint Now) const {
  auto Width = m_Options.Window / (BucketCount - 1);
  return Now.time_since_epoch() / std::max<Duration>(Width, Milliseconds(1));
}

double ArrivalBudget::usedSlack(TimePoint Now) const {
  Duration Age = Now - m_StartedAt;
  if (Age >= m_Options.Window)
    return UsedShare;
  std::chrono::duration<double> Window(m_Options.Window);
  return (1 - UsedShare) * (std::chrono::duration<double>(Age) / Window);
}

double ArrivalBudget::available(double Share, TimePoint Now) const {
  std::int64_t Newest = bucketNumber(Now);
  std::int64_t Oldest = Newest - static_cast<std::int64_t>(BucketCount) + 1;
  double Requests = 0;
  double Extras = 0;
  for (const Bucket &Each : m_Buckets) {
    if (Each.Number < Oldest || Each.Number > Newest)
      continue;
    Requests += Each.Requests;
    Extras += Each.Extras;
  }
  return UsedShare * m_Options.Ratio * Requests +
         usedSlack(Now) * Share * m_Options.Slack - Extras;
}

ArrivalBudget::Bucket &ArrivalBudget::currentBucket(TimePoint Now) {
  std::int64_t Number = bucketNumber(Now);
  Bucket &Current = m_Buckets[static_cast<std::size_t>(Number) % BucketCount];
  if (Current.Number != Number)
    Current = {.Number = Number};
  return Current;
}

void ArrivalBudget::countRequest(TimePoint Now) {
  ++currentBucket(Now).Requests;
}

void ArrivalBudget::giveBack(TimePoint SpentAt) {
  std::int64_t Number = bucketNumber(SpentAt);
  Bucket &Spent = m_Buckets[static_cast<std::size_t>(Number) % BucketCount];
  if (Spent.Number == Number && Spent.Extras > 0)
    --Spent.Extras;
}

bool ArrivalBudget::trySpend(double Share, double Reserve, TimePoint Now) {
  if (available(Share, Now) < 1 + Reserve)
    return false;
  ++currentBucket(Now).Extras;
  return true;
}

} // namespace carawaypond
