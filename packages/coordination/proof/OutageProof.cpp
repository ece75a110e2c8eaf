#include "FleetModel.h"
#include "ProofRegistry.h"

#include <cstdint>

namespace carawaypond::proof {

namespace {

constexpr Milliseconds WarmUp(10000);
constexpr Milliseconds Outage(60000);
constexpr Milliseconds RestartTime(4000);
constexpr int RestartChance = 4; // in 1,000 steps

StoredService firstVersion() {
  StoredService Stored;
  Stored.Version = ConfigVersion(1);
  Stored.Submission = SubmissionId("first");
  Stored.Content.Name = ServiceName("s");
  return Stored;
}

/// VMs restart one by one while the store is unavailable. The others continue
/// to serve, and each restarted VM gets the configuration from them.
void runRestarts(ProofContext &Context, std::uint32_t Seed) {
  FleetModel Fleet(Seed, 6, 3, {.LossPercent = 5});
  Fleet.write(0, {.Value = firstVersion(), .IfVersion = std::nullopt},
              [](WriteResult) {});
  TimePoint Begin = Fleet.now() + WarmUp;
  while (Fleet.now() < Begin)
    Fleet.step([] {});
  Fleet.beginStoreOutage(Outage);
  TimePoint NextRestart = Begin;
  while (Fleet.now() < Begin + Outage) {
    if (Fleet.now() >= NextRestart && Fleet.draw(1000) < RestartChance) {
      Fleet.restart(static_cast<std::size_t>(Fleet.draw(6)),
                    Milliseconds(Fleet.draw(2000)));
      NextRestart = Fleet.now() + 3 * RestartTime;
    }
    Fleet.step([&] {
      for (FleetModel::Slot &Vm : Fleet.slots()) {
        if (!Vm.Node || Fleet.now() - Vm.LastFaultEnd < RestartTime)
          continue;
        if (!Vm.Node->mayServe(Fleet.now()))
          RC_FAIL("an outage of the store stopped a VM");
        if (Vm.Node->configs().versionOf(ServiceName("s")).value() != 1)
          RC_FAIL("a VM serves without the configuration");
      }
    });
  }
  Context.countEvents(Fleet.events());
}

/// After all VMs have restarted, none knows which configuration is in force, so
/// none serves until the store is available again.
void runAllRestarted(ProofContext &Context, std::uint32_t Seed) {
  FleetModel Fleet(Seed, 6, 3, {.LossPercent = 5});
  TimePoint Begin = Fleet.now() + WarmUp;
  while (Fleet.now() < Begin)
    Fleet.step([] {});
  Fleet.beginStoreOutage(Outage);
  for (std::size_t Vm = 0; Vm < Fleet.slots().size(); ++Vm)
    Fleet.restart(Vm, Milliseconds(500));
  while (Fleet.now() < Begin + Outage)
    Fleet.step([&] {
      for (FleetModel::Slot &Vm : Fleet.slots())
        if (Vm.Node && Vm.Node->mayServe(Fleet.now()))
          RC_FAIL("a VM that can't know the configuration in force serves");
    });
  for (TimePoint End = Fleet.now() + WarmUp; Fleet.now() < End;)
    Fleet.step([] {});
  for (FleetModel::Slot &Vm : Fleet.slots())
    RC_ASSERT(Vm.Node->mayServe(Fleet.now()));
  Context.countEvents(Fleet.events());
}

void proveOutage(ProofContext &Context) {
  Context.forAll("while the store is out, VMs serve on and restart", [&] {
    runRestarts(Context, *rc::gen::arbitrary<std::uint32_t>());
  });
  Context.forAll("when all restart while the store is out, none serves", [&] {
    runAllRestarted(Context, *rc::gen::arbitrary<std::uint32_t>());
  });
}

const bool Registered = registerProof(
    {.Name = "store-outage",
     .Property = "An outage of the store stops no VM that other VMs hear.",
     .Mutation = internal::Mutant::ForgetMajority,
     .Run = proveOutage});

} // namespace

} // namespace carawaypond::proof
