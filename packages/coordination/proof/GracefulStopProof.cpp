#include "FleetModel.h"
#include "ProofRegistry.h"

#include "coordination/addresses/AddressSelector.h"

#include <cstdint>
#include <vector>

namespace carawaypond::proof {

namespace {

constexpr Milliseconds WarmUp(6000);
constexpr Milliseconds RunTime(30000);
constexpr Milliseconds AddressLifetime(5000);
constexpr int StopChance = 4;             // in 1,000 steps
constexpr int AddressRequestChance = 200; // in 1,000 steps
constexpr int LongestQuery = 3000;        // ms

/// Callers that request addresses, use them for their lifetime and send queries
/// there, while VMs stop gracefully.
class CallerModel {
public:
  explicit CallerModel(FleetModel &Fleet)
      : m_Fleet(Fleet), m_VmDrains(Fleet.slots().size(), VmDrain({})),
        m_InFlight(Fleet.slots().size()) {
    for (VmDrain &Stop : m_VmDrains)
      Stop.onReady();
  }

  void step() {
    maybeStop();
    maybeRequestAddresses();
    sendQuery();
    finishQueries();
    tickDrains();
  }

private:
  struct Answer {
    std::vector<std::string> Addresses;
    TimePoint ValidUntil;
  };

  void maybeStop() {
    if (m_Fleet.draw(1000) >= StopChance)
      return;
    int Count = static_cast<int>(m_VmDrains.size());
    auto Vm = static_cast<std::size_t>(m_Fleet.draw(Count - 1));
    m_VmDrains[Vm].begin(m_Fleet.now());
    m_Fleet.slots()[Vm].Node->beginStop(m_Fleet.now());
  }

  void maybeRequestAddresses() {
    if (m_Fleet.draw(1000) >= AddressRequestChance)
      return;
    auto Vm = static_cast<std::size_t>(
        m_Fleet.draw(static_cast<int>(m_VmDrains.size())));
    if (m_VmDrains[Vm].phase() == VmPhase::Done)
      return;
    const Membership &Known = m_Fleet.slots()[Vm].Node->members();
    AddressAnswer Given = m_Addresses.answer(
        {.Caller = std::to_string(m_Fleet.draw(50)), .Centre = std::nullopt},
        Known.self(), Known.others());
    m_Answers.push_back({.Addresses = Given.Addresses,
                         .ValidUntil = m_Fleet.now() + Given.Valid});
  }

  void sendQuery() {
    std::erase_if(m_Answers, [&](const Answer &Each) {
      return Each.ValidUntil < m_Fleet.now();
    });
    if (m_Answers.empty())
      return;
    int Which = m_Fleet.draw(static_cast<int>(m_Answers.size()));
    for (const std::string &Address : m_Answers[Which].Addresses)
      startQueryAt(VmName(Address));
  }

  void startQueryAt(const VmName &Name) {
    for (std::size_t Vm = 0; Vm < m_VmDrains.size(); ++Vm) {
      if (m_Fleet.slots()[Vm].Name != Name)
        continue;
      if (!m_VmDrains[Vm].takesQueries())
        RC_FAIL("a valid address led to a VM that had stopped");
      m_InFlight[Vm].push_back(m_Fleet.now() +
                               Milliseconds(m_Fleet.draw(LongestQuery)));
    }
  }

  void finishQueries() {
    for (std::vector<TimePoint> &Queries : m_InFlight)
      std::erase_if(Queries,
                    [&](TimePoint Ends) { return Ends <= m_Fleet.now(); });
  }

  void tickDrains() {
    for (std::size_t Vm = 0; Vm < m_VmDrains.size(); ++Vm)
      for (VmDrainAction Action :
           m_VmDrains[Vm].tick(m_InFlight[Vm].size(), m_Fleet.now()))
        if (Action == VmDrainAction::Exit && !m_InFlight[Vm].empty())
          RC_FAIL("a planned stop interrupted a request in flight");
  }

  FleetModel &m_Fleet;
  AddressSelector m_Addresses{{.MaxAddresses = 8, .Lifetime = AddressLifetime}};
  std::vector<VmDrain> m_VmDrains;
  std::vector<std::vector<TimePoint>> m_InFlight;
  std::vector<Answer> m_Answers;
};

void runCase(ProofContext &Context, std::uint32_t Seed) {
  FleetModel Fleet(Seed, 6, 3, {.LossPercent = 5, .StoreOutage = 5});
  for (TimePoint End = Fleet.now() + WarmUp; Fleet.now() < End;)
    Fleet.step([] {});
  CallerModel Callers(Fleet);
  Fleet.startFaults();
  for (TimePoint End = Fleet.now() + RunTime; Fleet.now() < End;) {
    Callers.step();
    Fleet.step([] {});
  }
  Context.countEvents(Fleet.events());
}

void proveGracefulStop(ProofContext &Context) {
  Context.forAll("a planned stop cuts no request", [&] {
    runCase(Context, *rc::gen::arbitrary<std::uint32_t>());
  });
}

const bool Registered =
    registerProof({.Name = "graceful-stop",
                   .Property = "A planned stop cuts no request in flight.",
                   .Mutation = internal::Mutant::StopAtOnce,
                   .Run = proveGracefulStop});

} // namespace

} // namespace carawaypond::proof
