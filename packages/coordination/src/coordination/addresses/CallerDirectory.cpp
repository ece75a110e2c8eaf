#include "coordination/addresses/CallerDirectory.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <tuple>

namespace carawaypond {

namespace {

struct Candidate {
  bool IsExpensive; ///< Not in a data centre where queries cost least.
  bool IsElsewhere;
  double NegatedCapacity; ///< Sorts higher capacity first.
  std::uint64_t Rank;
  const LoadedVm *Vm;
};

std::uint64_t hashOf(const std::string &Text, std::uint64_t Seed) {
  return XXH64(Text.data(), Text.size(), Seed);
}

Candidate makeCandidate(const CallerQuestion &Question, const LoadedVm &Vm) {
  const DataCentre &Centre = Vm.Record.Centre;
  const auto &Cheap = Question.CheapCentres;
  std::string Salt = Question.Centre ? Question.Centre->value() : "";
  return {.IsExpensive = !Cheap.empty() && !Cheap.contains(Centre),
          .IsElsewhere = Question.Centre && Centre != *Question.Centre,
          .NegatedCapacity = -Vm.Load.Capacity,
          .Rank = hashOf(Vm.Record.Name.value(), hashOf(Salt, 0)),
          .Vm = &Vm};
}

auto order(const Candidate &Each) {
  return std::tie(Each.IsExpensive, Each.IsElsewhere, Each.NegatedCapacity,
                  Each.Rank);
}

std::size_t centresInUse(const CallerQuestion &Question,
                         const std::vector<LoadedVm> &Usable) {
  std::set<DataCentre> Centres;
  for (const LoadedVm &Each : Usable)
    if (Question.CheapCentres.empty() ||
        Question.CheapCentres.contains(Each.Record.Centre))
      Centres.insert(Each.Record.Centre);
  return std::max<std::size_t>(Centres.size(), 1);
}

} // namespace

std::vector<std::string>
CallerDirectory::answer(const CallerQuestion &Question,
                        const std::vector<LoadedVm> &Usable) const {
  std::vector<Candidate> Candidates;
  double Attempts = 0;
  for (const LoadedVm &Each : Usable) {
    Candidates.push_back(makeCandidate(Question, Each));
    Attempts += Each.Load.AttemptRate;
  }
  std::sort(Candidates.begin(), Candidates.end(),
            [](const Candidate &Left, const Candidate &Right) {
              return order(Left) < order(Right);
            });
  double Cores =
      Attempts / m_Options.AttemptsPerCore / m_Options.TargetUtilisation;
  double Needed = Cores / static_cast<double>(centresInUse(Question, Usable));
  std::vector<std::string> Addresses;
  double Named = 0;
  for (const Candidate &Each : Candidates) {
    bool IsEnough = Addresses.size() >= m_Options.MinVms && Named >= Needed;
    if (IsEnough || Addresses.size() >= m_Options.MaxAddresses)
      break;
    Addresses.push_back(Each.Vm->Record.CallerAddress);
    Named += Each.Vm->Load.Capacity;
  }
  return Addresses;
}

} // namespace carawaypond
