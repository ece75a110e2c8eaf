#pragma once

#include <rapidcheck.h>

#include <cstdint>
#include <ostream>
#include <vector>

namespace carawaypond::proof {

/// @brief One kind of random event in a TrafficModel.
enum class StepKind : std::uint8_t {
  NewQuery,
  Deliver,            ///< Any one pending message arrives.
  DeliverTwice,       ///< A response arrives and stays pending, so that it
                      ///< can arrive again.
  Lose,               ///< A message is lost; its sender learns of it later.
  FailToConnect,      ///< A request is not sent at all.
  Misroute,           ///< A copy of an outcome arrives at another query.
  RunToEnd,           ///< A backend server completes a running subrequest.
  AnswerOtherVersion, ///< The same, but answers from its newest version.
  FailRun,            ///< A running subrequest fails.
  Shed,               ///< A backend server sheds the next subrequest.
  Advance,            ///< Time passes and no timer fires (a pause).
  Tick,               ///< Every timer that is due fires.
  PublishVersion,     ///< A newer index version is published.
  ServerCatchesUp,    ///< A backend server loads the newest version.
  ServerWithdraws,    ///< A backend server drops old versions.
  Repartition,        ///< A newer index layout is published.
  ReportStatus,       ///< All VMs get a backend server's status.
  ServerLeaves,
  ServerFails,
  ServerReturns,
  CallerCancels,
};

/// @brief A random event; its effect depends on the model's state.
struct Step {
  StepKind Kind = StepKind::Tick;
  std::uint32_t Pick = 0; ///< Selects the event's target, modulo their number.

  friend std::ostream &operator<<(std::ostream &Out, const Step &S) {
    return Out << static_cast<int>(S.Kind) << "/" << S.Pick;
  }
};

/// @return A generator of event sequences, which RapidCheck can shrink.
[[nodiscard]] rc::Gen<std::vector<Step>> steps();

} // namespace carawaypond::proof
