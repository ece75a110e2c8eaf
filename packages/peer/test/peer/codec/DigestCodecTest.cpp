#include "peer/codec/DigestCodec.h"

#include <capnp/message.h>
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace carawaypond;
using namespace carawaypond::peer;

namespace {

std::uint64_t anyNumber() { return *rc::gen::arbitrary<std::uint64_t>(); }

std::string anyText() {
  return *rc::gen::container<std::string>(rc::gen::nonZero<char>());
}

VmRecord anyVm() {
  return {.Name = VmName(anyText()),
          .IncarnationNumber = Incarnation(anyNumber()),
          .Centre = DataCentre(anyText()),
          .PeerAddress = anyText(),
          .CallerAddress = anyText(),
          .OperatorAddress = anyText(),
          .State = *rc::gen::element(VmState::Live, VmState::Suspect,
                                     VmState::Leaving, VmState::Gone),
          .Counter = anyNumber(),
          .AgeMillis = anyNumber()};
}

ServiceReplicaVersions anyVersions() {
  VersionRange Range{.Layout = anyNumber(),
                     .Oldest = IndexVersion(anyNumber()),
                     .Newest = IndexVersion(anyNumber())};
  return {.Service = ServiceName(anyText()),
          .Replica = {.Server = ServerName(anyText()),
                      .Shard = ShardId(*rc::gen::arbitrary<std::uint32_t>()),
                      .Ranges = {Range, Range}}};
}

template <typename Make> auto several(Make Item) {
  std::vector<decltype(Item())> Items;
  for (int I = *rc::gen::inRange(0, 4); I > 0; --I)
    Items.push_back(Item());
  return Items;
}

Digest anyDigest() {
  Digest Made;
  Made.Sender = anyVm();
  Made.Vms = several(anyVm);
  Made.Centres = several([] {
    return CentreHeard{.Centre = DataCentre(anyText()),
                       .Heard = *rc::gen::arbitrary<std::uint32_t>(),
                       .AgeMillis = anyNumber()};
  });
  Made.Configs = several([] {
    return HeldConfigVersion{.Service = ServiceName(anyText()),
                             .Version = ConfigVersion(anyNumber())};
  });
  Made.ConfigCount = anyNumber();
  Made.ConfigFingerprint = anyNumber();
  Made.Drains = several([] {
    return DrainSign{.Server = ServerName(anyText()),
                     .Origin = VmName(anyText()),
                     .Sequence = anyNumber(),
                     .AgeMillis = anyNumber(),
                     .Leaving = *rc::gen::arbitrary<bool>()};
  });
  Made.Indexes = several([] {
    return HeldIndexVersion{.Name = anyText(), .ObjectVersion = anyNumber()};
  });
  Made.Versions = several(anyVersions);
  Made.StoreReachable = *rc::gen::arbitrary<bool>();
  Made.StoreAgeMillis = anyNumber();
  Made.ServeMillis = anyNumber();
  Made.Informed = *rc::gen::arbitrary<bool>();
  Made.AwakeMillis = *rc::gen::arbitrary<std::uint32_t>();
  return Made;
}

} // namespace

TEST_CASE("a digest round-trips") {
  bool Held = rc::check([] {
    Digest Sent = anyDigest();
    capnp::MallocMessageBuilder Message;
    auto Root = Message.initRoot<wire::Digest>();
    writeDigest(Sent, Root);
    RC_ASSERT(readDigest(Root.asReader()) == Sent);
  });
  CHECK(Held);
}
