#pragma once

#include "coordination/membership/MessageTransit.h"
#include "coordination/replicas/StoreContact.h"
#include "core/time/Time.h"

#include <algorithm>
#include <chrono>

namespace carawaypond {

/// @brief A ContactSpan as VMs tell it to each other: by age, since their
/// clocks differ.
struct ContactAge {
  Milliseconds Since{0}; ///< Time since the first answer of the period.
  Milliseconds Until{0}; ///< Time since the last one.
  StoreEra Era;
  bool FollowsRestore = false; ///< See ContactSpan.

  [[nodiscard]] static ContactAge of(const ContactSpan &Span, TimePoint Now) {
    using std::chrono::duration_cast;
    return {.Since = duration_cast<Milliseconds>(Now - Span.Since),
            .Until = duration_cast<Milliseconds>(Now - Span.Until),
            .Era = Span.Era,
            .FollowsRestore = Span.FollowsRestore};
  }

  /// @return The period, for a message that arrived at @p Now: not longer than
  /// the sender meant, on either side.
  [[nodiscard]] ContactSpan spanAt(TimePoint Now) const {
    TimePoint First = Now - Since;
    return {.Since = First,
            .Until = std::max(First, Now - Until - MaxMessageTransit),
            .Era = Era,
            .FollowsRestore = FollowsRestore};
  }

  friend bool operator==(const ContactAge &, const ContactAge &) = default;
};

} // namespace carawaypond
