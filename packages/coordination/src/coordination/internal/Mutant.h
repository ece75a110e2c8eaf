#pragma once

#ifdef CARAWAYPOND_MUTANTS
#include <atomic>
#endif

namespace carawaypond::internal {

/// @brief A mechanism that a proof can disable to show that the proof detects
/// its absence (mutation testing). Each value names the faulty behaviour.
enum class Mutant {
  None,
  MixVersions,         ///< Merges answers for different versions.
  CoverageFromAnswers, ///< Derives the list of shards from the answers.
  AcceptAnyQuery,      ///< Accepts an answer to another query.
  DoubtIsNotRun,       ///< Reports a lost subrequest as one that did not run.
  RunForeignTicket,    ///< Runs a ticket issued by another incarnation.
  KeepDrainSigns,      ///< Doesn't tell other VMs that a server is leaving.
  SendUninformed,      ///< Sends after a pause before hearing other VMs.
  StopAtOnce,          ///< Stops before old address answers expire.
  TakeAnyVersion,      ///< Accepts a lower version of a configuration.
  SkipReadBack,        ///< Guesses the result of a write in doubt.
  ForgetMajority,      ///< Stops serving during a store outage.
  ServeUnconfirmed,    ///< Serves with a configuration that may be old.
  TrustPresumptions,   ///< Takes what another VM presumes for what it knows.
  ForgetRemovals,      ///< Lets other VMs revive a replica that was removed.
  ShortListWins,       ///< Drops at once what a list lacks after an outage.
  TrustCopies,         ///< Uses a gone replica that a copy of the store holds.
};

#ifdef CARAWAYPOND_MUTANTS

inline std::atomic<Mutant> ActiveMutant = Mutant::None;

/// @return The mechanism that is disabled in this process.
[[nodiscard]] inline Mutant activeMutant() { return ActiveMutant; }

/// @brief Disables one mechanism in the whole process.
inline void setActiveMutant(Mutant Active) { ActiveMutant = Active; }

#else

/// @return None: no mechanism can be disabled in the shipped library.
[[nodiscard]] constexpr Mutant activeMutant() { return Mutant::None; }

#endif

/// @return Whether @p Mechanism is disabled.
[[nodiscard]] inline bool isMutant(Mutant Mechanism) {
  return activeMutant() == Mechanism;
}

} // namespace carawaypond::internal
