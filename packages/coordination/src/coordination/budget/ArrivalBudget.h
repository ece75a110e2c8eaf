#pragma once

#include "core/time/Time.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace carawaypond {

/// @brief Limit on a service's arrivals beyond the first arrival of each
/// request, over all VMs together.
struct ArrivalBudgetOptions {
  double Ratio = 0.2;          ///< Extra arrivals per request in the window.
  double Slack = 0;            ///< Additional arrivals in the window.
  Milliseconds Window{10'000}; ///< The limit holds for any span of this length.
};

/// @brief This VM's share of a service's budget for hedges and retries.
///
/// The VM's own requests earn the part that follows from the ratio; the slack
/// is divided among the VMs. So no VM needs to know what another one has spent.
///
/// Handles VMs that are killed and restart again and again: a VM does not know
/// what its earlier incarnation has spent. In the first window after its start
/// it spends only of the margin that running VMs leave, in proportion to the
/// time since the start, so that any series of starts stays within the budget.
class ArrivalBudget {
public:
  /// @param StartedAt When this VM started.
  ArrivalBudget(ArrivalBudgetOptions Options, TimePoint StartedAt)
      : m_Options(Options), m_StartedAt(StartedAt) {}

  /// @param Share This VM's share of the slack.
  /// @return How many extra arrivals are allowed now.
  [[nodiscard]] double available(double Share, TimePoint Now) const;

  /// @brief Counts a request's first arrival.
  void countRequest(TimePoint Now);
  /// @brief Spends one arrival on a hedge or retry, if the budget allows it.
  /// @param Reserve How many arrivals must remain available afterwards.
  [[nodiscard]] bool trySpend(double Share, double Reserve, TimePoint Now);
  /// @brief Returns an arrival that was spent at @p SpentAt and did not happen.
  void giveBack(TimePoint SpentAt);

private:
  /// The window is divided into buckets. One more than fits the window covers
  /// any alignment.
  static constexpr std::size_t BucketCount = 21;

  struct Bucket {
    std::int64_t Number = -1;
    unsigned Requests = 0;
    unsigned Extras = 0;
  };

  /// @return The part of the slack that may be used.
  [[nodiscard]] double usedSlack(TimePoint Now) const;
  [[nodiscard]] std::int64_t bucketNumber(TimePoint Now) const;
  Bucket &currentBucket(TimePoint Now);

  ArrivalBudgetOptions m_Options;
  TimePoint m_StartedAt;
  std::array<Bucket, BucketCount> m_Buckets;
};

} // namespace carawaypond
