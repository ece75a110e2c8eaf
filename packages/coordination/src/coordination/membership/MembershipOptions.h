#pragma once

#include "coordination/membership/VmRecord.h"
#include "core/time/Time.h"

#include <cstddef>

namespace carawaypond {

/// @brief Periods and bounds of the membership protocol.
struct MembershipOptions {
  VmRecord Self; ///< Name, life, data centre and addresses of this VM.
  Milliseconds TickPeriod{500};
  Milliseconds SuspectFloor{1500};   ///< Shortest silence that is suspected.
  Milliseconds SuspectCeiling{8000}; ///< Longest silence that is not.
  Milliseconds CentreSilence{5000};  ///< After it a data centre is suspected.
  Milliseconds GoneAfter{60000};     ///< A suspicion that lasts becomes Gone.
  Milliseconds ForgetAfter{600000};  ///< A Gone record is dropped then.
  Milliseconds HeardWindow{2000};    ///< What counts as heard in CentreHeard.
  Milliseconds PauseBound{1500};     ///< A longer gap between ticks is a pause.
  std::size_t PeersPerTick = 20;     ///< Contacts within the data centre.
  std::size_t FullPerTick = 2;       ///< Of these, with a full digest.
  std::size_t CentresPerTick = 4;    ///< Contacts of a representative.
  std::size_t Representatives = 2;   ///< In each data centre.
  std::size_t RecordsPerDigest = 16; ///< Records in a full digest.
  std::size_t MaxVms = 16384;        ///< Records kept.
};

} // namespace carawaypond
