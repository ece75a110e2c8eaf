#pragma once

#include "coordination/membership/Digest.h"
#include "core/time/Time.h"

#include <optional>

namespace carawaypond {

/// @brief Limits on the age of the configuration.
struct FreshnessOptions {
  Milliseconds Bound{4000}; ///< Maximum age of a configuration in use.
  Milliseconds StoreSilence{
      2500}; ///< Silence after which the store counts as out.
  Milliseconds SubmitWindow{
      2000}; ///< Maximum age of the majority for a submission.
};

/// @brief Serving lease of this VM: it may serve while its configuration is at
/// most FreshnessOptions::Bound old. Only evidence extends the lease:
///
/// 1. A list read from the store, requested at S: this VM holds everything
///    accepted before S, so it may serve until S + Bound.
/// 2. A reply to a request sent at S, from a VM that may serve for a further R
///    and whose configurations this VM all holds: it may serve until S + R.
/// 3. A majority of all VMs heard as of M, through replies whose configurations
///    the receiver held in each hop: this VM holds what a majority held at M,
///    so it may serve until M + Bound. This bridges an outage of the store.
///
/// VMs have no disk and lose their state on restart. Therefore a VM counts
/// towards a majority and may use rule 3 only after it has served for Bound.
/// Every time is the sending time of a request on this VM's clock, so a delayed
/// message or a paused process can shorten the lease but never extend it.
/// docs/design/freshness.md has the argument and its limits.
class Freshness {
public:
  explicit Freshness(FreshnessOptions Options) : m_Options(Options) {}

  /// @return Whether a query may begin; otherwise it is refused as not run.
  [[nodiscard]] bool mayServe(TimePoint Now) const;
  /// @return The time until which queries may begin, for traffic threads.
  [[nodiscard]] std::optional<TimePoint> serveUntil() const {
    return m_ServeUntil;
  }
  /// @return Whether this VM may write a submission to the store.
  /// @param MajorityAsOf Membership::majorityAsOf().
  /// @param IsAlone Membership::isAlone().
  [[nodiscard]] bool maySubmit(std::optional<TimePoint> MajorityAsOf,
                               bool IsAlone, TimePoint Now) const;
  /// @return Whether this VM counts towards a majority.
  [[nodiscard]] bool isInformed() const { return m_Informed; }
  /// @return The time as of which this or another VM last read the store.
  [[nodiscard]] std::optional<TimePoint> storeAsOf() const {
    return m_StoreAsOf;
  }
  [[nodiscard]] bool isStoreSilent(TimePoint Now) const;
  /// @brief Sets the digest's fields about the store and the serving lease.
  void fill(Digest &Out, TimePoint Now) const;

  /// @brief Records a complete list of services that is already in the
  /// ConfigRegistry.
  /// @param SentAt When the list was requested.
  void onStoreList(TimePoint SentAt, TimePoint Now);
  /// @brief Records the reply to a request sent at @p SentAt.
  /// @param Covers See ConfigRegistry::covers().
  void onReply(const Digest &Reply, bool Covers, TimePoint SentAt,
               TimePoint Now);
  /// @brief Applies rule 3 with the result of Membership::majorityAsOf().
  void tick(std::optional<TimePoint> MajorityAsOf, TimePoint Now);

private:
  void extend(TimePoint Until, TimePoint Now);

  FreshnessOptions m_Options;
  std::optional<TimePoint> m_ServeUntil;
  std::optional<TimePoint> m_FirstServed;
  std::optional<TimePoint> m_StoreAsOf;
  bool m_Informed = false;
};

} // namespace carawaypond
