#pragma once

#include "core/time/Time.h"

namespace carawaypond {

/// Longest time that a message between VMs usually takes. VMs tell each other
/// ages, as their clocks differ; it is taken off the time of an event that a
/// message tells, so that VMs that repeat each other's reports do not make the
/// event look later and later.
inline constexpr Milliseconds MaxMessageTransit{500};

} // namespace carawaypond
