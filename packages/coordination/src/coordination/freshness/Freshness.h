#pragma once

#include "coordination/membership/Digest.h"
#include "core/id/Ids.h"
#include "core/time/Time.h"

#include <map>
#include <optional>

namespace carawaypond {

/// @brief Bounds within which a configuration may be old.
struct FreshnessOptions {
  Milliseconds Bound{4000};        ///< Old configuration is served no longer.
  Milliseconds StoreSilence{2500}; ///< After it the store counts as out.
  Milliseconds Settle{3000};       ///< Majority heard before serving again.
  Milliseconds SubmitWindow{2000}; ///< Majority heard before accepting.
};

/// @brief Whether this VM may serve, that is, whether its configuration is at
/// most Bound old. The right to serve ends at a time that only evidence moves:
///
/// 1. A list read from the store, sent at S: the book holds everything
///    accepted before S, so serve until S + Bound.
/// 2. A reply to a request sent at S by a VM that may serve for R more, whose
///    configurations this VM all holds: serve until S + R.
/// 3. The store is out for everybody who is heard: a majority of all VMs was
///    heard as of M, and nobody holds a configuration that this VM lacks:
///    serve until M + Bound. A VM accepts submissions only while it hears a
///    majority, so no other part of the fleet can accept one unnoticed.
///
/// Every time is when a request left, on this VM's clock, so that a delayed
/// message or a paused process can make the right shorter but never longer.
/// docs/design/freshness.md has the argument and its limits.
class Freshness {
public:
  explicit Freshness(FreshnessOptions Options) : m_Options(Options) {}

  /// @return Whether a query may begin; else it is refused as not run.
  [[nodiscard]] bool mayServe(TimePoint Now) const;
  /// @return Whether this VM may hand a submission to the store.
  [[nodiscard]] bool maySubmit(std::optional<TimePoint> MajorityAsOf,
                               bool IsAlone, TimePoint Now) const;
  /// @return Whether this VM ever might serve in this life.
  [[nodiscard]] bool isInformed() const { return m_ServeUntil.has_value(); }
  /// @return As of when the store was read, here or by another VM.
  [[nodiscard]] std::optional<TimePoint> storeAsOf() const {
    return m_StoreAsOf;
  }
  /// @brief Adds recency to a digest.
  void fill(Digest &Out, TimePoint Now) const;

  /// @brief Takes a complete list of services, taken into the book already.
  /// @param SentAt When the list was asked for.
  void onStoreList(TimePoint SentAt, TimePoint Now);
  /// @brief Takes the reply to an exchange.
  /// @param Covers Whether the book now holds all that the reply told of;
  /// see ConfigBook::covers().
  void onReply(const Digest &Reply, bool Covers, TimePoint SentAt,
               TimePoint Now);
  /// @brief Weighs whether to serve on while the store is out.
  void tick(std::optional<TimePoint> MajorityAsOf, TimePoint Now);

private:
  void extend(TimePoint Until);
  [[nodiscard]] bool isStoreSilent(TimePoint Now) const;

  FreshnessOptions m_Options;
  std::optional<TimePoint> m_ServeUntil;
  std::optional<TimePoint> m_StoreAsOf;
  std::optional<TimePoint> m_MajoritySince;
  bool m_ServedAtTick = false;
  std::map<VmName, TimePoint> m_Uncovered; ///< When a VM was found ahead.
};

} // namespace carawaypond
