#pragma once

#ifdef CARAWAYPOND_MUTANTS
#include <atomic>
#endif

namespace carawaypond::internal {

/// @brief A mechanism that a proof can switch off, to show that it would
/// notice. Each names what the library does without that mechanism.
enum class Mutant {
  None,
  MixVersions,         ///< Takes an answer for any version into a result.
  CoverageFromAnswers, ///< Takes the list of shards from who answered.
  AcceptAnyQuery,      ///< Takes an answer without checking whose it is.
  DoubtIsNotRun,       ///< Reports a lost subrequest as one that did not run.
  RunForeignTicket,    ///< Runs a ticket that another incarnation gave out.
  KeepDrainSigns,      ///< Tells no other VM that a server is leaving.
  SendUninformed,      ///< Sends before hearing what a pause may have hidden.
  StopAtOnce,          ///< Stops without waiting for old address answers.
  TakeAnyVersion,      ///< Takes a lower version of a configuration.
  SkipReadBack,        ///< Guesses the outcome of a write in doubt.
  ForgetMajority,      ///< Stops serving whenever the store is out.
  ServeUnconfirmed,    ///< Serves although its configuration may be old.
};

#ifdef CARAWAYPOND_MUTANTS

inline std::atomic<Mutant> ActiveMutant = Mutant::None;

/// @return The mechanism that is switched off in this process.
[[nodiscard]] inline Mutant activeMutant() { return ActiveMutant; }

/// @brief Switches one mechanism off in the whole process.
inline void setActiveMutant(Mutant Active) { ActiveMutant = Active; }

#else

/// @return None: nothing can be switched off in the shipped library.
[[nodiscard]] constexpr Mutant activeMutant() { return Mutant::None; }

#endif

/// @return Whether @p Mechanism is switched off.
[[nodiscard]] inline bool isMutant(Mutant Mechanism) {
  return activeMutant() == Mechanism;
}

} // namespace carawaypond::internal
