#pragma once

#include "coordination/budget/TokenBucket.h"
#include "coordination/overload/LoadSample.h"
#include "coordination/refusal/EventRate.h"
#include "core/time/Time.h"

#include <cstdint>
#include <deque>
#include <optional>

namespace carawaypond {

/// @brief Adaptive limit on the rate at which this VM starts requests for one
/// set of replicas.
///
/// Handles a demand above the replicas' capacity, by multiplicative decrease
/// and a growth that accelerates with the time since the last shortage. There
/// is no limit until requests show a shortage while the demand is well above
/// its usual level: replicas that reject or fail at the usual demand are at
/// fault, and retries at other replicas help where a limit does not. It limits
/// a rate, since a VM's share of the replicas may be less than one request at a
/// time.
class AdmissionRate {
public:
  /// Time constant of the usual demand.
  static constexpr std::chrono::seconds UsualMemory{30};

  /// @return Whether requests are limited at present.
  [[nodiscard]] bool isInForce() const { return m_Limit.has_value(); }
  /// @return The limit in requests per second; must be in force.
  [[nodiscard]] double perSecond(TimePoint Now) const;
  /// @return How long until a request of @p Priority may start.
  /// @param Ahead The number of requests that start before it.
  [[nodiscard]] Duration untilNext(unsigned Priority, std::size_t Ahead,
                                   TimePoint Now) const;

  /// @return Whether the demand is known to be well above its usual level, by
  /// enough requests to tell other VMs.
  [[nodiscard]] bool isDemandHigh(TimePoint Now) const;

  /// @brief Records whether another VM sees a high demand. It counts while this
  /// one does not know its usual demand: callers come to VMs that had none
  /// before just when the demand is high.
  void setFleetDemandHigh(bool IsHigh) { m_IsFleetDemandHigh = IsHigh; }
  /// @brief Counts a request that asks to start.
  void onAsked(TimePoint Now);
  /// @brief Counts a request that starts.
  void onStarted(TimePoint Now);
  /// @brief Adapts the limit to the end of a request.
  void onEnded(const LoadSample &Sample, TimePoint Now);
  /// @brief Raises the limit with time, and ends it once it is well above the
  /// demand, or the demand is back at its usual level.
  void update(TimePoint Now);

private:
  struct Limit {
    double PerSecond = 0; ///< At GrowsSince.
    /// Per second, before the limit; nothing if it was not known.
    std::optional<double> UsualDemand;
    TimePoint GrowsSince; ///< Last decrease, or last stress that held it.
    TimePoint ShortAt;    ///< When a request last showed a shortage.
    TokenBucket Tokens;
  };

  /// @return The usual demand per second; nothing if it is not known yet.
  [[nodiscard]] std::optional<double> usualDemand(TimePoint Now) const;
  /// @return Whether the demand is above @p Ratio times its usual level, as far
  /// as this VM or another one knows.
  [[nodiscard]] bool isDemandAbove(double Ratio, TimePoint Now) const;
  /// @brief Counts failures in a row.
  /// @return Whether the requests that ended show a shortage.
  bool recordSample(const LoadSample &Sample);
  void reduce(TimePoint Now);
  void setRate(double PerSecond, TimePoint Now);
  void end();

  EventRate m_Asked{std::chrono::seconds(2)};
  /// Usual demand; counted anew after a limit.
  EventRate m_Usual{UsualMemory};
  std::deque<TimePoint> m_Recent; ///< Requests that m_Usual lacks so far.
  std::optional<TimePoint> m_FirstAsked;
  std::optional<double> m_UsualBefore; ///< Usual demand before the last limit.
  bool m_IsFleetDemandHigh = false;
  EventRate m_Started{std::chrono::seconds(2)};
  unsigned m_FailureSeries = 0; ///< Failures without a success in between.
  std::optional<Limit> m_Limit;
};

} // namespace carawaypond
