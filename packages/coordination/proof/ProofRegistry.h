#pragma once

#include "coordination/internal/Mutant.h"

#include <rapidcheck.h>

#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace carawaypond::proof {

/// @brief What one proof is run with, and what it reports.
class ProofContext {
public:
  ProofContext(std::uint64_t Seed, int Runs) : m_Seed(Seed), m_Runs(Runs) {}

  [[nodiscard]] std::uint64_t seed() const { return m_Seed; }
  /// @brief How many random cases forAll() tries.
  [[nodiscard]] int runs() const { return m_Runs; }
  [[nodiscard]] std::uint64_t events() const { return m_Events; }
  [[nodiscard]] bool failed() const { return m_Failed; }

  /// @brief Counts random events that a proof has fed in.
  void countEvents(std::uint64_t Events) { m_Events += Events; }

  /// @brief Tries @p Property, a RapidCheck property, with runs() random
  /// cases; a violation is shrunk, printed and remembered in failed().
  template <typename Property>
  void forAll(const std::string &Description, Property &&Body) {
    if (!rc::check(Description, std::forward<Property>(Body)))
      m_Failed = true;
  }

private:
  std::uint64_t m_Seed = 0;
  std::uint64_t m_Events = 0;
  int m_Runs = 0;
  bool m_Failed = false;
};

/// @brief A long randomised run for one promise.
struct Proof {
  std::string Name;    ///< Names it on the command line.
  std::string Promise; ///< One sentence.
  internal::Mutant Broken = internal::Mutant::None; ///< Must make it fail.
  std::function<void(ProofContext &)> Run;
};

/// @return Every proof, in the order of registration.
[[nodiscard]] inline std::vector<Proof> &proofs() {
  static std::vector<Proof> All;
  return All;
}

/// @brief Adds a proof; used as the initialiser of a constant at namespace
/// scope of the proof's own file.
inline bool registerProof(Proof New) {
  proofs().push_back(std::move(New));
  return true;
}

} // namespace carawaypond::proof
