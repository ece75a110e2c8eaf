#include "FleetModel.h"
#include "ProofRegistry.h"

#include "coordination/addresses/AddressBook.h"

#include <cstdint>
#include <vector>

namespace carawaypond::proof {

namespace {

constexpr Milliseconds WarmUp(6000);
constexpr Milliseconds RunTime(30000);
constexpr Milliseconds AddressLifetime(5000);
constexpr int StopChance = 4;      // in 1,000 steps
constexpr int AskChance = 200;     // in 1,000 steps
constexpr int LongestQuery = 3000; // ms

/// Callers that ask for addresses, keep the answer for its lifetime and send
/// queries there, while VMs stop gracefully.
class CallerModel {
public:
  explicit CallerModel(FleetModel &Fleet)
      : m_Fleet(Fleet), m_Stops(Fleet.slots().size(), VmDrain({})),
        m_InFlight(Fleet.slots().size()) {
    for (VmDrain &Stop : m_Stops)
      Stop.onReady();
  }

  void step() {
    maybeStop();
    maybeAsk();
    query();
    finishQueries();
    tickStops();
  }

private:
  struct Answer {
    std::vector<std::string> Addresses;
    TimePoint Until;
  };

  void maybeStop() {
    if (m_Fleet.draw(1000) >= StopChance)
      return;
    int Count = static_cast<int>(m_Stops.size());
    auto Vm = static_cast<std::size_t>(m_Fleet.draw(Count - 1));
    m_Stops[Vm].begin(m_Fleet.now());
    m_Fleet.slots()[Vm].Node->beginStop(m_Fleet.now());
  }

  void maybeAsk() {
    if (m_Fleet.draw(1000) >= AskChance)
      return;
    auto Vm = static_cast<std::size_t>(
        m_Fleet.draw(static_cast<int>(m_Stops.size())));
    if (m_Stops[Vm].phase() == VmPhase::Done)
      return;
    const Membership &Known = m_Fleet.slots()[Vm].Node->members();
    AddressAnswer Given = m_Book.answer(
        {.Caller = std::to_string(m_Fleet.draw(50)), .Centre = std::nullopt},
        Known.self(), Known.others());
    m_Answers.push_back(
        {.Addresses = Given.Addresses, .Until = m_Fleet.now() + Given.Valid});
  }

  void query() {
    std::erase_if(m_Answers, [&](const Answer &Each) {
      return Each.Until < m_Fleet.now();
    });
    if (m_Answers.empty())
      return;
    int Which = m_Fleet.draw(static_cast<int>(m_Answers.size()));
    for (const std::string &Address : m_Answers[Which].Addresses)
      beginAt(VmName(Address));
  }

  void beginAt(const VmName &Name) {
    for (std::size_t Vm = 0; Vm < m_Stops.size(); ++Vm) {
      if (m_Fleet.slots()[Vm].Name != Name)
        continue;
      if (!m_Stops[Vm].takesQueries())
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

  void tickStops() {
    for (std::size_t Vm = 0; Vm < m_Stops.size(); ++Vm)
      for (VmDrainAction Action :
           m_Stops[Vm].tick(m_InFlight[Vm].size(), m_Fleet.now()))
        if (Action == VmDrainAction::Exit && !m_InFlight[Vm].empty())
          RC_FAIL("a stop cut a request in flight");
  }

  FleetModel &m_Fleet;
  AddressBook m_Book{{.MaxAddresses = 8, .Lifetime = AddressLifetime}};
  std::vector<VmDrain> m_Stops;
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
                   .Promise = "A planned stop cuts no request in flight.",
                   .Broken = internal::Mutant::StopAtOnce,
                   .Run = proveGracefulStop});

} // namespace

} // namespace carawaypond::proof
