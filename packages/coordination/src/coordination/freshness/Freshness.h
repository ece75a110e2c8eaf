#pragma once

#include "coordination/membership/Digest.h"
#include "core/time/Time.h"

#include <optional>

namespace carawaypond {

/// @brief Bounds within which a configuration may be old.
struct FreshnessOptions {
  Milliseconds Bound{4000};        ///< Older configuration is not served.
  Milliseconds StoreSilence{2500}; ///< After it the store counts as out.
  Milliseconds SubmitWindow{2000}; ///< Majority heard before submitting.
};

/// @brief Whether this VM may serve, that is, whether its configuration is at
/// most Bound old. The right to serve ends at a time that only evidence moves:
///
/// 1. A list read from the store, sent at S: the book holds everything
///    accepted before S, so serve until S + Bound.
/// 2. A reply to a request sent at S by a VM that may serve for R more, whose
///    configurations this VM all holds: serve until S + R.
/// 3. A majority of all VMs heard as of M, each through replies whose
///    configurations were all held on the way: what a majority held at M this
///    VM holds, so serve until M + Bound. This carries a store outage.
///
/// A VM without a disk forgets when it restarts, so it counts towards a
/// majority, and may use rule 3, only once it has served for Bound.
/// Every time is when a request left, on this VM's clock: a delayed message or
/// a paused process can make the right shorter but never longer.
/// docs/design/freshness.md has the argument and its limits.
class Freshness {
public:
  explicit Freshness(FreshnessOptions Options) : m_Options(Options) {}

  /// @return Whether a query may begin; else it is refused as not run.
  [[nodiscard]] bool mayServe(TimePoint Now) const;
  /// @return Until when queries may begin, for traffic threads.
  [[nodiscard]] std::optional<TimePoint> serveUntil() const {
    return m_ServeUntil;
  }
  /// @return Whether this VM may hand a submission to the store.
  /// @param MajorityAsOf Membership::majorityAsOf().
  /// @param IsAlone Membership::isAlone().
  [[nodiscard]] bool maySubmit(std::optional<TimePoint> MajorityAsOf,
                               bool IsAlone, TimePoint Now) const;
  /// @return Whether this VM counts towards a majority.
  [[nodiscard]] bool isInformed() const { return m_Informed; }
  /// @return As of when the store was read, here or by another VM.
  [[nodiscard]] std::optional<TimePoint> storeAsOf() const {
    return m_StoreAsOf;
  }
  [[nodiscard]] bool isStoreSilent(TimePoint Now) const;
  /// @brief Adds recency to a digest.
  void fill(Digest &Out, TimePoint Now) const;

  /// @brief Takes a complete list of services, taken into the book already.
  /// @param SentAt When the list was asked for.
  void onStoreList(TimePoint SentAt, TimePoint Now);
  /// @brief Takes the reply to an exchange.
  /// @param Covers See ConfigBook::covers().
  void onReply(const Digest &Reply, bool Covers, TimePoint SentAt,
               TimePoint Now);
  /// @brief Weighs Membership::majorityAsOf().
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
