#include "FleetModel.h"
#include "ProofRegistry.h"

#include <cstdint>
#include <map>

namespace carawaypond::proof {

namespace {

constexpr Milliseconds StopBound(3000);
constexpr Milliseconds StatusSettleTime(1000);
constexpr Milliseconds StatusLifetime(20000); // until it must be repeated
constexpr Milliseconds WarmUp(6000);
constexpr Milliseconds RunTime(40000);
constexpr int StatusChance = 15; // in 1,000 steps

/// Drain statuses that VMs observe, and the checks that all VMs stop sending in
/// time.
class DrainStatusModel {
public:
  explicit DrainStatusModel(FleetModel &Fleet) : m_Fleet(Fleet) {}

  void maybeObserve() {
    if (m_Fleet.draw(1000) >= StatusChance)
      return;
    auto Which = m_Fleet.draw(static_cast<int>(m_Fleet.slots().size()));
    FleetModel::Slot &Vm = m_Fleet.slots()[static_cast<std::size_t>(Which)];
    if (!m_Fleet.isRunning(Vm))
      return;
    ServerName Server("s-" + std::to_string(m_Statuses.size()));
    Vm.Node->onServerDrainStatus(Server, true, m_Fleet.now());
    m_Statuses.push_back({.Server = Server,
                          .At = m_Fleet.now(),
                          .Origin = static_cast<std::size_t>(Which),
                          .IncarnationNumber = Vm.IncarnationNumber});
  }

  void check() {
    for (ObservedStatus &Each : m_Statuses)
      checkStatus(Each);
  }

private:
  struct ObservedStatus {
    ServerName Server;
    TimePoint At;
    std::size_t Origin;
    std::uint64_t IncarnationNumber;
    bool IsLost = false;
  };

  /// Marks a status as lost if the VM that observed it is paused or restarted
  /// right after: it may not have told any other VM.
  void markLostAtOrigin(ObservedStatus &Each) {
    FleetModel::Slot &Vm = m_Fleet.slots()[Each.Origin];
    bool IsRecent = m_Fleet.now() - Each.At <= StatusSettleTime;
    bool IsOriginRunning =
        m_Fleet.isRunning(Vm) && Vm.IncarnationNumber == Each.IncarnationNumber;
    if (IsRecent && !IsOriginRunning)
      Each.IsLost = true;
  }

  /// @return Whether some VM that was neither paused nor restarted recently
  /// holds the status; a status that only paused VMs hold can't spread.
  bool isHeldByStableVm(const ObservedStatus &Each) {
    for (FleetModel::Slot &Vm : m_Fleet.slots())
      if (m_Fleet.isRunning(Vm) &&
          m_Fleet.now() - Vm.LastFaultEnd > StopBound &&
          Vm.Node->drains().isDraining(Each.Server, m_Fleet.now()))
        return true;
    return false;
  }

  void checkStatus(ObservedStatus &Each) {
    markLostAtOrigin(Each);
    Duration Age = m_Fleet.now() - Each.At;
    bool IsDue = Age > StopBound && Age <= StatusLifetime;
    if (Each.IsLost || !IsDue || !isHeldByStableVm(Each))
      return;
    for (FleetModel::Slot &Vm : m_Fleet.slots()) {
      if (!m_Fleet.isRunning(Vm) || !Vm.Node->sendGate().maySend(m_Fleet.now()))
        continue;
      if (!Vm.Node->drains().isDraining(Each.Server, m_Fleet.now()))
        RC_FAIL("a VM may send to a server that is leaving");
    }
  }

  FleetModel &m_Fleet;
  std::vector<ObservedStatus> m_Statuses;
};

void runCase(ProofContext &Context, std::uint32_t Seed) {
  FleetModel Fleet(Seed, 6, 3,
                   {.LossPercent = 5,
                    .MaxDelay = Milliseconds(100),
                    .Pause = 1,
                    .Restart = 1,
                    .StoreOutage = 2});
  DrainStatusModel Model(Fleet);
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
     .Property = "A backend server that is leaving gets no new work after 3 s.",
     .Mutation = internal::Mutant::KeepDrainSigns,
     .Run = proveLeavingServer});
const bool RegisteredPause = registerProof(
    {.Name = "leaving-server-pause",
     .Property = "A VM that was paused sends nothing to a server that left.",
     .Mutation = internal::Mutant::SendUninformed,
     .Run = proveLeavingServer});

} // namespace

} // namespace carawaypond::proof
