#include "ProofRegistry.h"
#include "ReplicaModel.h"

namespace carawaypond::proof {

namespace {

/// Maximum time for which a server gets requests after the store has
/// acknowledged that it left.
constexpr Milliseconds DrainBound{3'000};
/// Maximum time for which a VM may lack a live server.
constexpr Milliseconds ReturnBound{2'000};
constexpr int Steps = 400;
/// Longer than any fault, and Stability after it.
constexpr int CalmSteps = 200;

bool uses(const ReplicaModel::Vm &Vm, const ReplicaModel::Server &Server) {
  auto Found = Vm.Replicas.entries().find(Server.Id);
  return Found != Vm.Replicas.entries().end() &&
         Found->second.Record.State == ReplicaState::Serving;
}

void checkLeft(const ReplicaModel &Model, const ReplicaModel::Vm &Vm,
               const ReplicaModel::Server &Server) {
  bool IsDue =
      Server.WasRemovedInCalm && Model.now() - Server.RemovedAt > DrainBound;
  if (IsDue && Model.isInTouch(Vm) && uses(Vm, Server))
    RC_FAIL("a VM in touch uses a server that left");
  if (Vm.Dropped.contains(Server.Id) && uses(Vm, Server))
    RC_FAIL("a VM uses a server again that it knew to be gone");
}

void checkAlive(const ReplicaModel &Model, const ReplicaModel::Vm &Vm,
                const ReplicaModel::Server &Server) {
  bool IsKnown =
      Server.IsStored && Model.now() - Server.StoredSince > ReturnBound;
  if (IsKnown && Model.isInTouch(Vm) && !uses(Vm, Server))
    RC_FAIL("a VM in touch lacks a live server");
}

/// @brief Live servers that VMs used when the store failed stay in use until
/// it is back, however short the list is that a VM reads.
void checkOutage(const ReplicaModel &Model, std::set<ServerName> &UsedByAll) {
  bool IsCalm = true;
  for (const ReplicaModel::Vm &Vm : Model.vms())
    IsCalm = IsCalm && Model.isInTouch(Vm);
  for (const ReplicaModel::Server &Server : Model.servers()) {
    std::size_t Users = 0;
    for (const ReplicaModel::Vm &Vm : Model.vms())
      Users += uses(Vm, Server) ? 1 : 0;
    if (IsCalm && Server.IsAlive && Users == Model.vms().size())
      UsedByAll.insert(Server.Id);
    if (!Server.IsAlive)
      UsedByAll.erase(Server.Id);
    if (UsedByAll.contains(Server.Id) && Users == 0)
      RC_FAIL("all VMs dropped a live server");
  }
}

void checkAgreement(const ReplicaModel &Model) {
  for (const ReplicaModel::Vm &Vm : Model.vms()) {
    RC_ASSERT(Model.isInTouch(Vm));
    for (const ReplicaModel::Server &Server : Model.servers())
      if (uses(Vm, Server) != Server.IsStored)
        RC_FAIL("a VM does not agree with the store after calm");
  }
}

void runFleet(ProofContext &Context, std::uint32_t Seed, bool WithRestores) {
  ReplicaModel Model(Seed, WithRestores);
  std::set<ServerName> UsedByAll;
  for (int I = 0; I < Steps + CalmSteps; ++I) {
    Model.step(I < Steps);
    for (const ReplicaModel::Vm &Vm : Model.vms())
      for (const ReplicaModel::Server &Server : Model.servers()) {
        checkLeft(Model, Vm, Server);
        checkAlive(Model, Vm, Server);
      }
    bool AnyRestarted = false;
    for (const ReplicaModel::Vm &Vm : Model.vms())
      AnyRestarted = AnyRestarted || Vm.FaultEnd == Model.now();
    if (AnyRestarted)
      UsedByAll.clear();
    checkOutage(Model, UsedByAll);
  }
  checkAgreement(Model);
  Context.countEvents(Steps);
}

void proveReplicas(ProofContext &Context) {
  Context.forAll("VMs know the replicas by evidence", [&] {
    runFleet(Context, *rc::gen::arbitrary<std::uint32_t>(), false);
  });
}

void proveRestores(ProofContext &Context) {
  Context.forAll("VMs know the replicas although the store goes back", [&] {
    runFleet(Context, *rc::gen::arbitrary<std::uint32_t>(), true);
  });
}

const bool RegisteredPresumptions = registerProof(
    {.Name = "replica-presumption",
     .Property = "What one VM presumes to live, no VM takes for known.",
     .Mutation = internal::Mutant::TrustPresumptions,
     .Run = proveReplicas});

const bool RegisteredRemovals = registerProof(
    {.Name = "replica-removal",
     .Property = "A replica that a VM knew to be gone does not come back.",
     .Mutation = internal::Mutant::ForgetRemovals,
     .Run = proveReplicas});

const bool RegisteredShortList = registerProof(
    {.Name = "replica-short-list",
     .Property = "A short list after an outage takes no live replica away.",
     .Mutation = internal::Mutant::ShortListWins,
     .Run = proveReplicas});

const bool RegisteredRestores = registerProof(
    {.Name = "replica-restored-store",
     .Property = "A store that comes back from an older copy hides no replica "
                 "and brings none back.",
     .Mutation = internal::Mutant::TrustCopies,
     .Run = proveRestores});

} // namespace

} // namespace carawaypond::proof
