#include "FleetModel.h"
#include "ProofRegistry.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace carawaypond::proof {

namespace {

constexpr int Services = 3;
constexpr Milliseconds InForceBound(5000);
constexpr Milliseconds WarmUp(8000);
constexpr Milliseconds FaultPhase(40000);
constexpr Milliseconds CoolDown(10000);
constexpr int SubmitChance = 20; // in 1,000 steps

std::string contentOf(const ServiceName &Name) {
  return R"({"name": ")" + Name.value() +
         R"(", "index": "i", "classes": [{"name": "c"}]})";
}

/// Operators that submit concurrently, and the outcomes reported to them.
class Operators {
public:
  explicit Operators(FleetModel &Fleet) : m_Fleet(Fleet) {}

  [[nodiscard]] const std::map<SubmissionId, SubmissionOutcome> &
  reportedOutcomes() const {
    return m_ReportedOutcomes;
  }

  void maybeSubmit() {
    if (m_Fleet.draw(1000) >= SubmitChance)
      return;
    auto Vm = static_cast<std::size_t>(
        m_Fleet.draw(static_cast<int>(m_Fleet.slots().size())));
    FleetModel::Slot &Place = m_Fleet.slots()[Vm];
    if (!m_Fleet.isRunning(Place) || !Place.Node->maySubmit(m_Fleet.now()))
      return;
    bool IsRetry = !m_Sent.empty() && m_Fleet.draw(3) == 0;
    if (!IsRetry)
      m_Sent.push_back(makeSubmission(*Place.Node));
    auto Which = IsRetry ? m_Fleet.draw(static_cast<int>(m_Sent.size()))
                         : static_cast<int>(m_Sent.size()) - 1;
    auto Plan = std::make_shared<SubmissionPlan>(
        m_Sent[Which], m_Fleet.now() + Milliseconds(3000));
    follow(Vm, Plan, m_Sent[Which].Id, Plan->start());
  }

private:
  Submission makeSubmission(const ControlNode &Node) {
    ServiceName Name("s-" + std::to_string(m_Fleet.draw(Services)));
    Submission New{.Id = SubmissionId(std::to_string(m_Sent.size())),
                   .Service = Name,
                   .Change = CreateService{.ContentJson = contentOf(Name)}};
    ConfigVersion Held = Node.configs().versionOf(Name);
    if (Held.value() == 0)
      return New;
    switch (m_Fleet.draw(6)) {
    case 0:
      New.Change = DeleteService{.Version = Held};
      break;
    case 1:
      break;
    default:
      New.Change = PatchService{.Version = Held,
                                .PatchJson = R"({"hedge_quantile": 0.9})"};
    }
    return New;
  }

  void follow(std::size_t Vm, const std::shared_ptr<SubmissionPlan> &Plan,
              const SubmissionId &Id, const SubmissionAction &Action) {
    if (const auto *Finish = std::get_if<FinishSubmission>(&Action)) {
      finish(Id, Finish->Outcome);
      return;
    }
    if (const auto *Read = std::get_if<ReadObject>(&Action)) {
      m_Fleet.read(Vm, *Read, [=, this](auto Found) {
        follow(Vm, Plan, Id, Plan->onRead(Found, m_Fleet.now()));
      });
      return;
    }
    const auto &Write = std::get<WriteObject>(Action);
    m_Fleet.write(Vm, Write, [=, this](WriteResult Answer) {
      if (Answer == WriteResult::Written)
        m_Fleet.slots()[Vm].Node->onWritten(Write.Value);
      follow(Vm, Plan, Id, Plan->onWrite(Answer, m_Fleet.now()));
    });
  }

  void finish(const SubmissionId &Id, const SubmissionOutcome &Outcome) {
    if (std::holds_alternative<SubmissionUnknown>(Outcome))
      return;
    auto [Earlier, IsFirst] = m_ReportedOutcomes.try_emplace(Id, Outcome);
    bool WasAccepted =
        std::holds_alternative<SubmissionAccepted>(Earlier->second);
    if (WasAccepted && Earlier->second != Outcome)
      RC_FAIL("an accepted submission was told otherwise");
    bool IsAccepted = std::holds_alternative<SubmissionAccepted>(Outcome);
    if (!WasAccepted && IsAccepted && !isCreation(Id))
      RC_FAIL("a refused submission was accepted later");
    Earlier->second = Outcome;
  }

  /// A creation that was refused may succeed after the service is deleted.
  [[nodiscard]] bool isCreation(const SubmissionId &Id) const {
    const Submission &Sent = m_Sent[std::stoul(Id.value())];
    return std::holds_alternative<CreateService>(Sent.Change);
  }

  FleetModel &m_Fleet;
  std::vector<Submission> m_Sent;
  std::map<SubmissionId, SubmissionOutcome> m_ReportedOutcomes;
};

/// Invariants of configurations, checked at every step.
class ConfigModel {
public:
  explicit ConfigModel(FleetModel &Fleet) : m_Fleet(Fleet) {}

  void check() {
    for (const auto &[Service, Versions] : m_Fleet.log())
      recordMajority(Service, Versions.rbegin()->first);
    for (FleetModel::Slot &Vm : m_Fleet.slots())
      if (m_Fleet.isRunning(Vm))
        checkVm(Vm);
  }

  /// Checks, after a long time without faults, that every accepted version is
  /// in force on all VMs.
  void checkConvergence() {
    for (FleetModel::Slot &Vm : m_Fleet.slots()) {
      RC_ASSERT(Vm.Node->mayServe(m_Fleet.now()));
      for (const auto &[Service, Versions] : m_Fleet.log()) {
        const auto &[Newest, Stored] = *Versions.rbegin();
        if (m_Fleet.now() - Stored.At > InForceBound)
          RC_ASSERT(Vm.Node->configs().versionOf(Service) == Newest);
      }
    }
  }

  void checkReportedOutcomes(
      const std::map<SubmissionId, SubmissionOutcome> &Reported) {
    std::map<SubmissionId, ConfigVersion> VersionBySubmission;
    for (const auto &[Service, Versions] : m_Fleet.log())
      for (const auto &[Version, Stored] : Versions)
        RC_ASSERT(
            VersionBySubmission.emplace(Stored.Submission, Version).second);
    for (const auto &[Id, Outcome] : Reported) {
      const auto *Accepted = std::get_if<SubmissionAccepted>(&Outcome);
      RC_ASSERT(VersionBySubmission.contains(Id) == (Accepted != nullptr));
      if (Accepted)
        RC_ASSERT(VersionBySubmission[Id] == Accepted->Version);
    }
  }

private:
  /// Records when a majority of VMs first held a version.
  void recordMajority(const ServiceName &Service, ConfigVersion Version) {
    std::size_t Holders = 0;
    for (const FleetModel::Slot &Vm : m_Fleet.slots())
      if (Vm.Node && Vm.Node->configs().versionOf(Service) >= Version)
        ++Holders;
    if (2 * Holders > m_Fleet.slots().size())
      m_MajorityAt[Service].try_emplace(Version, m_Fleet.now());
  }

  void checkVm(FleetModel::Slot &Vm) {
    for (const auto &[Service, Versions] : m_Fleet.log()) {
      ConfigVersion Held = Vm.Node->configs().versionOf(Service);
      ConfigVersion &Before = m_Held[{Vm.Name, Vm.IncarnationNumber, Service}];
      if (Held < Before)
        RC_FAIL("a configuration reverted");
      if (Held > Before && Vm.Node->configs().find(Service)->Submission !=
                               Versions.at(Held).Submission)
        RC_FAIL("a VM holds what was never stored");
      Before = Held;
      if (Vm.Node->mayServe(m_Fleet.now()))
        checkServing(Service, Held);
    }
  }

  void checkServing(const ServiceName &Service, ConfigVersion Held) {
    const auto &Majorities = m_MajorityAt[Service];
    auto Missed = Majorities.upper_bound(Held);
    if (Missed != Majorities.end() &&
        m_Fleet.now() - Missed->second > InForceBound)
      RC_FAIL("a VM serves an old configuration");
  }

  FleetModel &m_Fleet;
  std::map<ServiceName, std::map<ConfigVersion, TimePoint>> m_MajorityAt;
  std::map<std::tuple<VmName, std::uint64_t, ServiceName>, ConfigVersion>
      m_Held;
};

void runCase(ProofContext &Context, std::uint32_t Seed) {
  FleetModel Fleet(Seed, 6, 3,
                   {.LossPercent = 10,
                    .MaxDelay = Milliseconds(static_cast<int>(Seed % 4) * 200),
                    .Pause = 2,
                    .Restart = 1,
                    .Partition = 6,
                    .StoreOutage = 4});
  Operators RacingOperators(Fleet);
  ConfigModel Model(Fleet);
  auto Run = [&](Milliseconds For) {
    for (TimePoint End = Fleet.now() + For; Fleet.now() < End;) {
      RacingOperators.maybeSubmit();
      Fleet.step([&] { Model.check(); });
    }
  };
  Run(WarmUp);
  Fleet.startFaults();
  Run(FaultPhase);
  Fleet.stopFaults();
  Run(CoolDown);
  Model.checkConvergence();
  for (int I = 0; I < 100; ++I)
    Fleet.step([] {});
  Model.checkReportedOutcomes(RacingOperators.reportedOutcomes());
  Context.countEvents(Fleet.events());
}

void proveConfiguration(ProofContext &Context) {
  Context.forAll(
      "an accepted configuration is in force everywhere or the VM "
      "refuses, and never reverts",
      [&] { runCase(Context, *rc::gen::arbitrary<std::uint32_t>()); });
}

const bool RegisteredBound = registerProof(
    {.Name = "configuration",
     .Property = "An accepted configuration is in force everywhere within 5 s.",
     .Mutation = internal::Mutant::ServeUnconfirmed,
     .Run = proveConfiguration});
const bool RegisteredOrder =
    registerProof({.Name = "configuration-order",
                   .Property = "A configuration in force never reverts.",
                   .Mutation = internal::Mutant::TakeAnyVersion,
                   .Run = proveConfiguration});
const bool RegisteredOutcome = registerProof(
    {.Name = "submission-outcome",
     .Property = "An operator is told the true outcome, or that it is unknown.",
     .Mutation = internal::Mutant::SkipReadBack,
     .Run = proveConfiguration});

} // namespace

} // namespace carawaypond::proof
