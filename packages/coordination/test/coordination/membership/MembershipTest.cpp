#include "coordination/membership/Membership.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>
#include <memory>
#include <random>

using namespace carawaypond;

namespace {

constexpr Milliseconds Step(100);
constexpr int StepsPerTick = 5;

/// VMs that exchange digests over a network that drops requests and replies.
class Fleet {
public:
  Fleet(int Vms, int Centres, int LossPercent, std::uint32_t Seed = 1)
      : m_LossPercent(LossPercent), m_Centres(Centres), m_Random(Seed) {
    for (int I = 0; I < Vms; ++I)
      m_Listed.push_back({.Name = nameOf(I),
                          .Centre = centreOf(I),
                          .PeerAddress = nameOf(I).value()});
    for (int I = 0; I < Vms; ++I)
      start(I, 1);
  }

  static VmName nameOf(int I) { return VmName("vm-" + std::to_string(I)); }

  Membership &at(int I) { return *m_Vms.at(nameOf(I)); }
  [[nodiscard]] const std::map<VmName, std::unique_ptr<Membership>> &
  vms() const {
    return m_Vms;
  }

  void start(int I, std::uint64_t IncarnationNumber) {
    MembershipOptions Options;
    Options.Self.Name = nameOf(I);
    Options.Self.IncarnationNumber = Incarnation(IncarnationNumber);
    Options.Self.Centre = centreOf(I);
    Options.Self.PeerAddress = nameOf(I).value();
    m_Vms[nameOf(I)] = std::make_unique<Membership>(Options);
    m_Vms[nameOf(I)]->onVmList(m_Listed, m_Now);
    m_Vms[nameOf(I)]->setInformed(true);
  }
  void stop(int I) { m_Vms.erase(nameOf(I)); }
  void pause(int I, bool Paused) { m_Paused[nameOf(I)] = Paused; }

  void run(Duration For) {
    for (TimePoint End = m_Now + For; m_Now < End; m_Now += Step) {
      int Offset = 0;
      for (auto &[Name, Vm] : m_Vms)
        if ((m_Step + Offset++) % StepsPerTick == 0 && !m_Paused[Name])
          tick(*Vm);
      ++m_Step;
    }
  }

  [[nodiscard]] bool allLive() const {
    for (const auto &[Name, Vm] : m_Vms)
      if (Vm->liveVms().size() != m_Vms.size())
        return false;
    return true;
  }
  [[nodiscard]] TimePoint now() const { return m_Now; }

private:
  [[nodiscard]] DataCentre centreOf(int I) const {
    return DataCentre("dc-" + std::to_string(I % m_Centres));
  }
  bool isLost() {
    return std::uniform_int_distribution(0, 99)(m_Random) < m_LossPercent;
  }

  void tick(Membership &From) {
    for (const Contact &To : From.tick(m_Now)) {
      auto Found = m_Vms.find(To.Name);
      if (Found == m_Vms.end() || m_Paused[To.Name] || isLost())
        continue;
      Digest Request;
      Request.Informed = true;
      From.fill(Request, To.Full, m_Now);
      Found->second->onRequest(Request, m_Now);
      Digest Reply;
      Reply.Informed = true;
      Found->second->fill(Reply, To.Full, m_Now);
      if (!isLost())
        From.onReply(Reply, true, m_Now, m_Now);
    }
  }

  int m_LossPercent;
  int m_Centres;
  std::mt19937 m_Random;
  int m_Step = 0;
  TimePoint m_Now{std::chrono::hours(1)};
  std::vector<ListedVm> m_Listed;
  std::map<VmName, std::unique_ptr<Membership>> m_Vms;
  std::map<VmName, bool> m_Paused;
};

} // namespace

TEST_CASE("VMs find each other and stay live under loss") {
  CHECK(rc::check([] {
    int Centres = *rc::gen::inRange(1, 5);
    Fleet Vms(Centres * *rc::gen::inRange(2, 4), Centres, 10,
              *rc::gen::arbitrary<std::uint32_t>());
    Vms.run(std::chrono::seconds(10));
    RC_ASSERT(Vms.allLive());
    for (const auto &[Name, Vm] : Vms.vms()) {
      std::optional<TimePoint> AsOf = Vm->majorityAsOf(Vms.now());
      RC_ASSERT(AsOf);
      RC_ASSERT(Vms.now() - *AsOf < std::chrono::seconds(4));
    }
  }));
}

TEST_CASE("a VM that crashed is no longer live on any VM") {
  CHECK(rc::check([] {
    Fleet Vms(8, 4, 5, *rc::gen::arbitrary<std::uint32_t>());
    Vms.run(std::chrono::seconds(8));
    Vms.stop(*rc::gen::inRange(0, 8));
    Vms.run(std::chrono::seconds(15));
    RC_ASSERT(Vms.allLive());
  }));
}

TEST_CASE("a paused VM becomes live again and does not suspect other VMs") {
  CHECK(rc::check([] {
    Fleet Vms(8, 4, 0);
    Vms.run(std::chrono::seconds(8));
    int Paused = *rc::gen::inRange(0, 8);
    Vms.pause(Paused, true);
    Vms.run(std::chrono::seconds(*rc::gen::inRange(5, 40)));
    RC_ASSERT(Vms.at((Paused + 1) % 8).stateOf(Fleet::nameOf(Paused)) ==
              VmState::Suspect);
    Vms.pause(Paused, false);
    std::uint64_t Before = Vms.at(Paused).suspicions();
    Vms.run(std::chrono::seconds(6));
    RC_ASSERT(Vms.allLive());
    RC_ASSERT(Vms.at(Paused).suspicions() == Before);
  }));
}

TEST_CASE("a restarted VM replaces its predecessor") {
  Fleet Vms(4, 2, 0);
  Vms.run(std::chrono::seconds(8));
  Vms.start(2, 2);
  Vms.run(std::chrono::seconds(6));
  CHECK(Vms.allLive());
  CHECK(Vms.at(1).find(Fleet::nameOf(2))->IncarnationNumber == Incarnation(2));
}

TEST_CASE("a leaving VM is no longer live, and every VM learns of it") {
  Fleet Vms(8, 4, 0);
  Vms.run(std::chrono::seconds(8));
  Vms.at(3).leave();
  Vms.run(std::chrono::seconds(4));
  for (const auto &[Name, Vm] : Vms.vms())
    CHECK(Vm->stateOf(Fleet::nameOf(3)) == VmState::Leaving);
}

TEST_CASE("a VM that is partitioned off does not hear a majority") {
  Fleet Vms(8, 4, 0);
  Vms.run(std::chrono::seconds(8));
  for (int I = 1; I < 8; ++I)
    Vms.pause(I, true);
  Vms.run(std::chrono::seconds(10));
  std::optional<TimePoint> AsOf = Vms.at(0).majorityAsOf(Vms.now());
  REQUIRE(AsOf);
  CHECK(Vms.now() - *AsOf > std::chrono::seconds(7));
}
