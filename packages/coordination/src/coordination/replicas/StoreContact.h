#pragma once

#include "core/id/StoreRevision.h"
#include "core/time/Time.h"

#include <optional>
#include <vector>

namespace carawaypond {

/// @brief A period in which the store answered again and again, without an
/// outage in between, and in one era.
struct ContactSpan {
  TimePoint Since; ///< First answer of the period.
  TimePoint Until; ///< Last answer so far.
  StoreEra Era;
  /// Whether an earlier era was known, so that the store came back from a copy
  /// before the period. The writers may not have had time to write again yet.
  bool FollowsRestore = false;

  friend bool operator==(const ContactSpan &, const ContactSpan &) = default;
};

/// @brief Knows when the store answered any VM of the fleet.
///
/// VMs tell each other their periods of contact. Only a silence towards all of
/// them is an outage of the store: a VM that was cut off from the store learns
/// from the others that there was none. A new era begins a period, however
/// short the silence before it was.
class StoreContact {
public:
  /// @param MinOutage Shortest silence of the store that is an outage.
  explicit StoreContact(Milliseconds MinOutage) : m_MinOutage(MinOutage) {}

  /// @return The latest period, or nullopt if the store never answered.
  [[nodiscard]] std::optional<ContactSpan> latest() const;
  /// @return Whether the store has been silent for at least an outage.
  [[nodiscard]] bool isOut(TimePoint Now) const;

  /// @brief Adds a period in which the store answered this or another VM.
  void add(ContactSpan Span);

private:
  /// Periods before the latest that are kept: a report of another VM may still
  /// show that there was no outage between two of them.
  static constexpr std::size_t MaxSpans = 8;

  Milliseconds m_MinOutage;
  /// Oldest first, with outages or restores in between.
  std::vector<ContactSpan> m_Spans;
};

} // namespace carawaypond
