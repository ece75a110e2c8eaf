#pragma once

#include "core/invariant/InvariantCounter.h"

/// @brief Checks a rule that the program's own logic must keep. A broken one
/// stops the process, or throws where tests installed a handler.
/// @param Condition What must hold.
/// @param Message What is broken, for the log.
#define CARAWAYPOND_INVARIANT(Condition, Message)                              \
  do {                                                                         \
    ::carawaypond::InvariantCounter::countCheck();                             \
    if (!(Condition))                                                          \
      ::carawaypond::InvariantCounter::fail(#Condition, (Message), __FILE__,   \
                                            __LINE__);                         \
  } while (false)
