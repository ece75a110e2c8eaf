#include "coordination/addresses/AddressSelector.h"

#include <doctest/doctest.h>

#include <map>

using namespace carawaypond;

namespace {

VmRecord makeVm(int I) {
  VmRecord Vm;
  Vm.Name = VmName("vm-" + std::to_string(I));
  Vm.Centre = DataCentre(I % 2 == 0 ? "a" : "b");
  Vm.CallerAddress = "10.0.0." + std::to_string(I) + ":7101";
  return Vm;
}

std::vector<VmRecord> makeOthers() {
  std::vector<VmRecord> Others;
  for (int I = 1; I < 8; ++I)
    Others.push_back(makeVm(I));
  return Others;
}

} // namespace

TEST_CASE("each VM is first equally often, for one caller and for many") {
  AddressSelector Book({});
  std::map<std::string, int> First;
  for (int I = 0; I < 8000; ++I) {
    std::string Caller = I % 2 == 0 ? "one" : std::to_string(I);
    ++First[Book.answer({.Caller = Caller, .Centre = {}}, makeVm(0),
                        makeOthers())
                .Addresses.front()];
  }
  CHECK(First.size() == 8);
  for (const auto &[Address, Count] : First) {
    CHECK(Count > 800);
    CHECK(Count < 1200);
  }
}

TEST_CASE("the caller's data centre comes first") {
  AddressSelector Book({.MaxAddresses = 4});
  AddressAnswer Answer = Book.answer(
      {.Caller = "one", .Centre = DataCentre("a")}, makeVm(0), makeOthers());
  CHECK(Answer.Addresses.size() == 4);
  for (const std::string &Address : Answer.Addresses)
    CHECK((Address[7] - '0') % 2 == 0);
}

TEST_CASE(
    "leaving and suspect VMs are left out, but an answer is never empty") {
  AddressSelector Book({});
  std::vector<VmRecord> Others = makeOthers();
  Others[0].State = VmState::Suspect;
  Others[1].State = VmState::Leaving;
  VmRecord Self = makeVm(0);
  CHECK(Book.answer({}, Self, Others).Addresses.size() == 6);
  for (VmRecord &Vm : Others)
    Vm.State = VmState::Gone;
  Self.State = VmState::Leaving;
  CHECK(Book.answer({}, Self, Others).Addresses ==
        std::vector<std::string>{Self.CallerAddress});
}
