#include "coordination/configuration/ConfigRegistry.h"
#include "coordination/configuration/RolloutStatus.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace carawaypond;

namespace {

StoredService makeStored(int Service, std::uint64_t Version) {
  StoredService Stored;
  Stored.Version = ConfigVersion(Version);
  Stored.Content.Name = ServiceName("s-" + std::to_string(Service));
  return Stored;
}

Digest digestOf(ConfigRegistry &Book, bool Full) {
  Digest Out;
  Book.fill(Out, Full);
  return Out;
}

} // namespace

TEST_CASE(
    "versions only increase, and equal registries have equal fingerprints") {
  CHECK(rc::check([] {
    ConfigRegistry Left;
    ConfigRegistry Right;
    std::vector<StoredService> All;
    for (int I = *rc::gen::inRange(0, 40); I > 0; --I)
      All.push_back(makeStored(*rc::gen::inRange(0, 5),
                               *rc::gen::inRange<std::uint64_t>(1, 9)));
    for (const StoredService &Stored : All) {
      ConfigVersion Before = Left.versionOf(Stored.Content.Name);
      Left.take(Stored);
      RC_ASSERT(Left.versionOf(Stored.Content.Name) ==
                std::max(Before, Stored.Version));
    }
    for (auto Each = All.rbegin(); Each != All.rend(); ++Each)
      Right.take(*Each);
    RC_ASSERT(Left.fingerprint() == Right.fingerprint());
    RC_ASSERT(Left.covers(digestOf(Right, false)));
  }));
}

TEST_CASE("a registry finds the newer versions of a digest") {
  ConfigRegistry Mine;
  ConfigRegistry Theirs;
  Mine.take(makeStored(1, 4));
  Theirs.take(makeStored(1, 5));
  Theirs.take(makeStored(2, 1));
  Digest Heard = digestOf(Theirs, true);
  CHECK(!Mine.covers(Heard));
  CHECK(Mine.lacking(Heard).size() == 2);
  CHECK(!Theirs.lacking(digestOf(Mine, true)).size());
  CHECK(Theirs.covers(digestOf(Mine, true)));
}

TEST_CASE("a large registry does not fit into a digest and must be fetched") {
  ConfigRegistry Large;
  for (int I = 0; I < 500; ++I)
    Large.take(makeStored(I, 1));
  ConfigRegistry Empty;
  Digest Heard = digestOf(Large, true);
  CHECK(Heard.Configs.size() <= ConfigRegistry::MaxListedInDigest);
  CHECK(!Empty.covers(Heard));
  CHECK(Empty.needsWholeList(Heard));
}

TEST_CASE("a version is in force on VMs that hold it or a higher one") {
  ConfigRegistry Own;
  Own.take(makeStored(1, 3));
  RolloutStatus Check(ServiceName("s-1"), ConfigVersion(3),
                      {VmName("a"), VmName("b"), VmName("c")});
  Check.onOwn(VmName("a"), Own);
  ConfigRegistry Other;
  Other.take(makeStored(1, 4));
  Digest Heard = digestOf(Other, true);
  Heard.Sender.Name = VmName("b");
  Check.onDigest(Heard, Own);
  CHECK(Check.inForce() == 2);
  CHECK(Check.waiting() == std::vector<VmName>{VmName("c")});
}
