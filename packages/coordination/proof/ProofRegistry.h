#pragma once

#include "coordination/internal/Mutant.h"

#include <rapidcheck.h>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace carawaypond::proof {

/// @brief The parameters and the results of one run of a proof.
class ProofContext {
public:
  ProofContext(std::uint64_t Seed, int Runs) : m_Seed(Seed), m_Runs(Runs) {}

  [[nodiscard]] std::uint64_t seed() const { return m_Seed; }
  /// @brief The number of random cases that forAll() tries.
  [[nodiscard]] int runs() const { return m_Runs; }
  [[nodiscard]] std::uint64_t events() const { return m_Events; }
  [[nodiscard]] bool failed() const { return m_Failed; }
  /// @return The counts of countCases(), by kind.
  [[nodiscard]] const std::map<std::string, std::uint64_t> &cases() const {
    return m_Cases;
  }

  /// @brief Adds to the number of random events that a proof has generated.
  void countEvents(std::uint64_t Events) { m_Events += Events; }

  /// @brief Counts results of the cases, such as outcomes by kind. The report
  /// prints them, to show that the cases cover different results.
  void countCases(const std::string &Kind, std::uint64_t Count = 1) {
    m_Cases[Kind] += Count;
  }

  /// @brief Checks @p Body, a RapidCheck property, with runs() random cases. A
  /// violation is shrunk and printed, and sets failed().
  template <typename Property>
  void forAll(const std::string &Description, Property &&Body) {
    if (!rc::check(Description, std::forward<Property>(Body)))
      m_Failed = true;
  }

private:
  std::map<std::string, std::uint64_t> m_Cases;
  std::uint64_t m_Seed = 0;
  std::uint64_t m_Events = 0;
  int m_Runs = 0;
  bool m_Failed = false;
};

/// @brief A randomised check of one property that the library guarantees.
struct Proof {
  std::string Name;     ///< Selects the proof on the command line.
  std::string Property; ///< The property, in one sentence.
  /// With this mechanism switched off the proof must fail.
  internal::Mutant Mutation = internal::Mutant::None;
  std::function<void(ProofContext &)> Run;
};

/// @return Every proof, in the order of registration.
[[nodiscard]] inline std::vector<Proof> &proofs() {
  static std::vector<Proof> All;
  return All;
}

/// @brief Registers a proof. Called by the initialiser of a constant at
/// namespace scope in the proof's source file.
inline bool registerProof(Proof New) {
  proofs().push_back(std::move(New));
  return true;
}

} // namespace carawaypond::proof
