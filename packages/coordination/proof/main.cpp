#include "ProofRegistry.h"

#include "core/invariant/InvariantCounter.h"

#include <boost/program_options.hpp>

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <optional>
#include <string>

namespace {

using namespace carawaypond;
using namespace carawaypond::proof;
namespace po = boost::program_options;

constexpr int ExitHeld = 0;
constexpr int ExitViolated = 1;
constexpr int ExitUsage = 2;
constexpr int DefaultRuns = 2000;
constexpr int MaxEventsInACase = 400;

struct ProveOptions {
  std::string Name;
  std::uint64_t Seed = 1;
  int Runs = DefaultRuns;
  bool Broken = false;
  bool List = false;
};

po::options_description describeOptions(ProveOptions &Options) {
  po::options_description Described("Options");
  Described.add_options()("list", po::bool_switch(&Options.List),
                          "print the proofs' names")(
      "name", po::value(&Options.Name), "the proof to run")(
      "seed", po::value(&Options.Seed), "seed of the random cases")(
      "runs", po::value(&Options.Runs), "number of random cases")(
      "broken", po::bool_switch(&Options.Broken),
      "switch off the mechanism that is proved; the proof must fail");
  return Described;
}

std::optional<ProveOptions> parseOptions(int Argc, char **Argv) {
  ProveOptions Options;
  po::options_description Described = describeOptions(Options);
  po::positional_options_description Positional;
  Positional.add("name", 1);
  try {
    po::variables_map Values;
    po::store(po::command_line_parser(Argc, Argv)
                  .options(Described)
                  .positional(Positional)
                  .run(),
              Values);
    po::notify(Values);
  } catch (const po::error &Problem) {
    std::cerr << "carawaypond-prove: " << Problem.what() << "\n";
    return std::nullopt;
  }
  if (Options.Runs < 1) {
    std::cerr << "carawaypond-prove: --runs " << Options.Runs
              << " must be at least 1\n";
    return std::nullopt;
  }
  return Options;
}

int listProofs() {
  for (const Proof &Each : proofs())
    std::cout << Each.Name << "\t" << Each.Property << "\n";
  return ExitHeld;
}

void configureRapidCheck(const ProveOptions &Options) {
  std::string Parameters = "seed=" + std::to_string(Options.Seed) +
                           " max_success=" + std::to_string(Options.Runs) +
                           " max_size=" + std::to_string(MaxEventsInACase);
  setenv("RC_PARAMS", Parameters.c_str(), 1);
}

int runProof(const Proof &Chosen, const ProveOptions &Options) {
  configureRapidCheck(Options);
  InvariantCounter::throwOnFailure(true);
  if (Options.Broken)
    internal::setActiveMutant(Chosen.Mutation);
  ProofContext Context(Options.Seed, Options.Runs);
  std::uint64_t ChecksBefore = InvariantCounter::checks();
  Chosen.Run(Context);
  std::cout << Chosen.Name << (Context.failed() ? " VIOLATED" : " held")
            << ": seed " << Options.Seed << ", " << Options.Runs << " runs, "
            << Context.events() << " events, "
            << InvariantCounter::checks() - ChecksBefore
            << " invariants checked" << (Options.Broken ? ", broken" : "")
            << "\n";
  for (const auto &[Kind, Count] : Context.cases())
    std::cout << "  " << Kind << ": " << Count << "\n";
  return Context.failed() ? ExitViolated : ExitHeld;
}

} // namespace

int main(int Argc, char **Argv) {
  std::optional<ProveOptions> Options = parseOptions(Argc, Argv);
  if (!Options)
    return ExitUsage;
  if (Options->List)
    return listProofs();
  auto Chosen =
      std::find_if(proofs().begin(), proofs().end(),
                   [&](const Proof &P) { return P.Name == Options->Name; });
  if (Chosen == proofs().end()) {
    std::cerr << "carawaypond-prove: no proof is named \"" << Options->Name
              << "\"; --list prints them\n";
    return ExitUsage;
  }
  return runProof(*Chosen, *Options);
}
