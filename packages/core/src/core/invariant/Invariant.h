#pragma once

#include "core/invariant/InvariantCounter.h"

/// @brief Checks an invariant of the program's own logic. A violation aborts
/// the process, or throws InvariantViolation while
/// InvariantCounter::throwOnFailure() is enabled.
/// @param Condition The condition that must hold.
/// @param Message Describes the violation, for the log.
#define CARAWAYPOND_INVARIANT(Condition, Message)                              \
  do {                                                                         \
    ::carawaypond::InvariantCounter::countCheck();                             \
    if (!(Condition))                                                          \
      ::carawaypond::InvariantCounter::fail(#Condition, (Message), __FILE__,   \
                                            __LINE__);                         \
  } while (false)
