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
  Milliseconds SuspectCeiling{8000}; ///< Longest silence that is tolerated.
  Milliseconds CentreSilence{5000};  ///< Limit for a whole data centre.
  Milliseconds GoneAfter{60000};     ///< Time from Suspect to Gone.
  Milliseconds ForgetAfter{600000};  ///< Time until a Gone record is dropped.
  Milliseconds HeardWindow{2000}; ///< Maximum age that counts in CentreHeard.
  Milliseconds PauseBound{1500};  ///< A longer gap between ticks is a pause.
  std::size_t PeersPerTick = 20;  ///< Contacts within the data centre per tick.
  std::size_t FullPerTick = 2;    ///< Of these, contacts with a full digest.
  std::size_t CentresPerTick = 4; ///< Data centres a representative contacts.
  std::size_t Representatives = 2;   ///< Representatives of each data centre.
  std::size_t RecordsPerDigest = 16; ///< Records in a full digest.
  std::size_t MaxVms = 16384;        ///< Maximum number of records kept.
};

} // namespace carawaypond
