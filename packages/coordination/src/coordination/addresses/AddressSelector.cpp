#include "coordination/addresses/AddressSelector.h"

#include "core/invariant/Invariant.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <tuple>

namespace carawaypond {

namespace {

struct Candidate {
  bool IsElsewhere;
  std::uint64_t Rank;
  const VmRecord *Vm;
};

std::uint64_t hashOf(std::string_view Text, std::uint64_t Seed) {
  return XXH64(Text.data(), Text.size(), Seed);
}

Candidate makeCandidate(const AddressQuestion &Question, const VmRecord &Vm,
                        std::uint64_t Seed) {
  return {.IsElsewhere = Question.Centre && Vm.Centre != *Question.Centre,
          .Rank = hashOf(Vm.Name.value(), Seed),
          .Vm = &Vm};
}

bool isUsable(const VmRecord &Vm) {
  return Vm.State == VmState::Live && !Vm.CallerAddress.empty();
}

} // namespace

AddressAnswer AddressSelector::answer(const AddressQuestion &Question,
                                      const VmRecord &Self,
                                      const std::vector<VmRecord> &Others) {
  std::uint64_t Seed = hashOf(Question.Caller, m_Rotation);
  ++m_Rotation;
  std::vector<Candidate> Candidates;
  if (isUsable(Self))
    Candidates.push_back(makeCandidate(Question, Self, Seed));
  for (const VmRecord &Vm : Others)
    if (isUsable(Vm))
      Candidates.push_back(makeCandidate(Question, Vm, Seed));
  if (Candidates.empty())
    Candidates.push_back(makeCandidate(Question, Self, Seed));
  std::sort(Candidates.begin(), Candidates.end(),
            [](const Candidate &Left, const Candidate &Right) {
              return std::tie(Left.IsElsewhere, Left.Rank) <
                     std::tie(Right.IsElsewhere, Right.Rank);
            });
  Candidates.resize(std::min(Candidates.size(), m_Options.MaxAddresses));
  AddressAnswer Answer{.Addresses = {}, .Valid = m_Options.Lifetime};
  for (const Candidate &Each : Candidates)
    Answer.Addresses.push_back(Each.Vm->CallerAddress);
  CARAWAYPOND_INVARIANT(!Answer.Addresses.empty(),
                        "address answer contains no VM");
  return Answer;
}

} // namespace carawaypond
