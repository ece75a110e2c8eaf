#include "FleetModel.h"
#include "ProofRegistry.h"

#include <cstdint>
#include <map>

namespace carawaypond::proof {

namespace {

constexpr Milliseconds StopBound(3000);
constexpr Milliseconds SignSettles(1000);
constexpr Milliseconds SignCounts(20000); // until it has to be repeated
constexpr Milliseconds WarmUp(6000);
constexpr Milliseconds RunTime(40000);
constexpr int SignChance = 15; // in 1,000 steps

/// Signs that VMs observe, and when every VM must have stopped.
class SignModel {
public:
  explicit SignModel(FleetModel &Fleet) : m_Fleet(Fleet) {}

  void maybeObserve() {
    if (m_Fleet.draw(1000) >= SignChance)
      return;
    auto Which = m_Fleet.draw(static_cast<int>(m_Fleet.slots().size()));
    FleetModel::Slot &Vm = m_Fleet.slots()[static_cast<std::size_t>(Which)];
    if (!m_Fleet.isAwake(Vm))
      return;
    ServerName Server("s-" + std::to_string(m_Signs.size()));
    Vm.Node->onServerSign(Server, true, m_Fleet.now());
    m_Signs.push_back({.Server = Server,
                       .At = m_Fleet.now(),
                       .Origin = static_cast<std::size_t>(Which),
                       .Life = Vm.Life});
  }

  void check() {
    for (Sign &Each : m_Signs)
      checkSign(Each);
  }

private:
  struct Sign {
    ServerName Server;
    TimePoint At;
    std::size_t Origin;
    std::uint64_t Life;
    bool IsLost = false;
  };

  /// A VM that is paused or gone at once after its observation tells nobody.
  void noteOrigin(Sign &Each) {
    FleetModel::Slot &Vm = m_Fleet.slots()[Each.Origin];
    bool IsRecent = m_Fleet.now() - Each.At <= SignSettles;
    bool IsWell = m_Fleet.isAwake(Vm) && Vm.Life == Each.Life;
    if (IsRecent && !IsWell)
      Each.IsLost = true;
  }

  /// Whether a VM that was neither paused nor restarted lately holds the sign;
  /// what only paused VMs know reaches nobody.
  bool isKnown(const Sign &Each) {
    for (FleetModel::Slot &Vm : m_Fleet.slots())
      if (m_Fleet.isAwake(Vm) && m_Fleet.now() - Vm.LastDisturbed > StopBound &&
          Vm.Node->drains().isDraining(Each.Server, m_Fleet.now()))
        return true;
    return false;
  }

  void checkSign(Sign &Each) {
    noteOrigin(Each);
    Duration Age = m_Fleet.now() - Each.At;
    bool IsDue = Age > StopBound && Age <= SignCounts;
    if (Each.IsLost || !IsDue || !isKnown(Each))
      return;
    for (FleetModel::Slot &Vm : m_Fleet.slots()) {
      if (!m_Fleet.isAwake(Vm) || !Vm.Node->sendGate().maySend(m_Fleet.now()))
        continue;
      if (!Vm.Node->drains().isDraining(Each.Server, m_Fleet.now()))
        RC_FAIL("a VM may send to a server that is leaving");
    }
  }

  FleetModel &m_Fleet;
  std::vector<Sign> m_Signs;
};

void runCase(ProofContext &Context, std::uint32_t Seed) {
  FleetModel Fleet(Seed, 6, 3,
                   {.LossPercent = 5,
                    .MaxDelay = Milliseconds(100),
                    .Pause = 1,
                    .Restart = 1,
                    .StoreOutage = 2});
  SignModel Model(Fleet);
  for (TimePoint End = Fleet.now() + WarmUp; Fleet.now() < End;)
    Fleet.step([] {});
  Fleet.startFaults();
  for (TimePoint End = Fleet.now() + RunTime; Fleet.now() < End;) {
    Model.maybeObserve();
    Fleet.step([&] { Model.check(); });
  }
  Context.countEvents(Fleet.events());
}

void proveLeavingServer(ProofContext &Context) {
  Context.forAll("a leaving server gets no new work after 3 s", [&] {
    runCase(Context, *rc::gen::arbitrary<std::uint32_t>());
  });
}

const bool Registered = registerProof(
    {.Name = "leaving-server",
     .Promise = "A backend server that is leaving gets no new work after 3 s.",
     .Broken = internal::Mutant::KeepDrainSigns,
     .Run = proveLeavingServer});
const bool RegisteredPause = registerProof(
    {.Name = "leaving-server-pause",
     .Promise = "A VM that was paused sends nothing to a server that left.",
     .Broken = internal::Mutant::SendUninformed,
     .Run = proveLeavingServer});

} // namespace

} // namespace carawaypond::proof
