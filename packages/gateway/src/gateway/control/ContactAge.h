#pragma once

#include "coordination/replicas/StoreContact.h"
#include "core/time/Time.h"

#include <chrono>

namespace carawaypond::gateway {

/// @brief A ContactSpan as VMs tell it to each other: by age, since their
/// clocks differ.
struct ContactAge {
  Milliseconds Since{0}; ///< Time since the first answer of the period.
  Milliseconds Until{0}; ///< Time since the last one.

  [[nodiscard]] static ContactAge of(const ContactSpan &Span, TimePoint Now) {
    using std::chrono::duration_cast;
    return {.Since = duration_cast<Milliseconds>(Now - Span.Since),
            .Until = duration_cast<Milliseconds>(Now - Span.Until)};
  }

  [[nodiscard]] ContactSpan spanAt(TimePoint Now) const {
    return {.Since = Now - Since, .Until = Now - Until};
  }

  friend bool operator==(const ContactAge &, const ContactAge &) = default;
};

} // namespace carawaypond::gateway
