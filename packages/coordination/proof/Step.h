#pragma once

#include <rapidcheck.h>

#include <cstdint>
#include <ostream>
#include <vector>

namespace carawaypond::proof {

/// @brief One kind of random event in a TrafficWorld.
enum class StepKind : std::uint8_t {
  NewQuery,
  Deliver,         ///< Some message arrives, in no particular order.
  DeliverTwice,    ///< An answer arrives, and stays under way.
  Lose,            ///< A message is lost; its sender learns that some time.
  FailToConnect,   ///< A request is not sent at all.
  Misroute,        ///< An answer arrives at another query or queue too.
  RunToEnd,        ///< A backend server answers what it runs.
  AnswerOther,     ///< It answers with its newest version instead.
  FailRun,         ///< It fails while running.
  Shed,            ///< It refuses the next subrequest.
  Advance,         ///< Time passes, and nobody looks at the clock (a pause).
  Tick,            ///< Every timer that is due fires.
  PublishVersion,  ///< A newer version exists.
  ServerCatchesUp, ///< A backend server loads the newest version.
  ServerWithdraws, ///< A backend server drops old versions.
  Repartition,     ///< A newer layout exists.
  ReportStatus,    ///< Everyone hears what a backend server serves.
  ServerLeaves,
  ServerFails,
  ServerReturns,
  CallerCancels,
};

/// @brief A random event; what it means depends on the world's state.
struct Step {
  StepKind Kind = StepKind::Tick;
  std::uint32_t Pick = 0; ///< Chooses among what the event can happen to.

  friend std::ostream &operator<<(std::ostream &Out, const Step &S) {
    return Out << static_cast<int>(S.Kind) << "/" << S.Pick;
  }
};

/// @return A generator of event sequences; they shrink to shorter ones.
[[nodiscard]] rc::Gen<std::vector<Step>> steps();

} // namespace carawaypond::proof
