#pragma once

#include "core/time/Time.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace carawaypond {

/// @brief What a service allows beyond the first arrival of each request, over
/// all VMs together.
struct ArrivalBudgetOptions {
  double Ratio = 0.2;          ///< Of the requests within the window.
  double Slack = 0;            ///< Arrivals besides, within the window.
  Milliseconds Window{10'000}; ///< Any span of this length counts.
};

/// @brief This VM's part of a service's budget for hedges and retries.
///
/// The part that follows from the ratio is earned by this VM's own requests;
/// the slack is divided among the VMs. So no VM needs to know what another one
/// spent.
class ArrivalBudget {
public:
  explicit ArrivalBudget(ArrivalBudgetOptions Options) : m_Options(Options) {}

  /// @param Share This VM's part of the slack.
  /// @return How many more arrivals may be caused now.
  [[nodiscard]] double available(double Share, TimePoint Now) const;

  /// @brief Counts a request's first arrival.
  void countRequest(TimePoint Now);
  /// @brief Takes one arrival for a hedge or retry, if there is one.
  /// @param Reserve How many arrivals must be left besides.
  [[nodiscard]] bool trySpend(double Share, double Reserve, TimePoint Now);

private:
  /// The window is kept as buckets; one more than fit covers any alignment.
  static constexpr std::size_t BucketCount = 21;

  struct Bucket {
    std::int64_t Number = -1;
    unsigned Requests = 0;
    unsigned Extras = 0;
  };

  [[nodiscard]] std::int64_t bucketNumber(TimePoint Now) const;
  Bucket &currentBucket(TimePoint Now);

  ArrivalBudgetOptions m_Options;
  std::array<Bucket, BucketCount> m_Buckets;
};

} // namespace carawaypond
