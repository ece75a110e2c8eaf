#include "coordination/addresses/AddressBook.h"

#include "core/invariant/Invariant.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <tuple>

namespace carawaypond {

namespace {

struct Candidate {
  bool IsDear; ///< Not where the caller's queries cost least.
  bool IsElsewhere;
  std::uint64_t Rank;
  const VmRecord *Vm;
};

std::uint64_t hashOf(std::string_view Text, std::uint64_t Seed) {
  return XXH64(Text.data(), Text.size(), Seed);
}

Candidate makeCandidate(const AddressQuestion &Question, const VmRecord &Vm,
                        std::uint64_t Seed) {
  bool IsDear = !Question.CheapCentres.empty() &&
                !Question.CheapCentres.contains(Vm.Centre);
  return {.IsDear = IsDear,
          .IsElsewhere = Question.Centre && Vm.Centre != *Question.Centre,
          .Rank = hashOf(Vm.Name.value(), Seed),
          .Vm = &Vm};
}

/// @return How many of the sorted candidates to name: the leading group of VMs
/// that are equally good, and further ones until there are enough.
std::size_t namedCount(const std::vector<Candidate> &Sorted,
                       std::size_t Enough) {
  std::size_t Count = 0;
  while (Count < Sorted.size()) {
    const Candidate &Next = Sorted[Count];
    bool IsWorse =
        Count > 0 && (Next.IsDear != Sorted[Count - 1].IsDear ||
                      Next.IsElsewhere != Sorted[Count - 1].IsElsewhere);
    if (IsWorse && Count >= Enough)
      break;
    ++Count;
  }
  return Count;
}

bool isUsable(const VmRecord &Vm) {
  return Vm.State == VmState::Live && !Vm.CallerAddress.empty();
}

} // namespace

AddressAnswer AddressBook::answer(const AddressQuestion &Question,
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
              return std::tie(Left.IsDear, Left.IsElsewhere, Left.Rank) <
                     std::tie(Right.IsDear, Right.IsElsewhere, Right.Rank);
            });
  if (!Question.CheapCentres.empty())
    Candidates.resize(namedCount(Candidates, m_Options.EnoughCheap));
  Candidates.resize(std::min(Candidates.size(), m_Options.MaxAddresses));
  AddressAnswer Answer{.Addresses = {}, .Valid = m_Options.Lifetime};
  for (const Candidate &Each : Candidates)
    Answer.Addresses.push_back(Each.Vm->CallerAddress);
  CARAWAYPOND_INVARIANT(!Answer.Addresses.empty(),
                        "an address answer names no VM");
  return Answer;
}

} // namespace carawaypond
