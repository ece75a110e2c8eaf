#include "ProofRegistry.h"

#include "coordination/ticket/TicketRegistry.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace carawaypond::proof {

namespace {

constexpr int Vms = 4;
constexpr int StepsInCase = 400;
constexpr int MaxStepMillis = 3000;
constexpr int MaxHops = 3;

/// VMs that issue tickets, and callers that retry requests at any VM: late,
/// duplicated and out of order, while VMs restart and the other VMs have
/// outdated membership information.
class TicketModel {
public:
  explicit TicketModel(std::uint32_t Seed) : m_Random(Seed) {
    for (int I = 0; I < Vms; ++I)
      restart(I);
  }

  void step() {
    m_Now += Milliseconds(draw(MaxStepMillis));
    switch (draw(8)) {
    case 0:
      restart(draw(Vms));
      return;
    case 1:
    case 2:
      issue(draw(Vms));
      return;
    case 3:
      completeOne();
      return;
    default:
      send();
    }
  }

private:
  struct Vm {
    std::unique_ptr<TicketRegistry> Tickets;
    std::uint64_t IncarnationNumber = 0;
  };
  struct Running {
    int Vm;
    std::uint64_t IncarnationNumber;
    Ticket Given;
  };

  int draw(int Below) {
    return std::uniform_int_distribution(0, Below - 1)(m_Random);
  }
  static VmName nameOf(int I) { return VmName("vm-" + std::to_string(I)); }

  void restart(int I) {
    ++m_Vms[I].IncarnationNumber;
    m_Vms[I].Tickets = std::make_unique<TicketRegistry>(TicketRegistryOptions{
        .Self = nameOf(I),
        .IncarnationNumber = Incarnation(m_Vms[I].IncarnationNumber),
        .Secret = m_Random(),
        .MaxTickets = 20,
        .MaxKeptBytes = 40});
  }

  void issue(int I) {
    Result<Ticket> Given = m_Vms[I].Tickets->issue(m_Service, m_Now);
    if (Given)
      m_Tickets.push_back(toString(Given.value()));
  }

  void send() {
    if (m_Tickets.empty())
      return;
    const std::string &Text =
        m_Tickets[draw(static_cast<int>(m_Tickets.size()))];
    deliver(draw(Vms), parseTicket(Text).value(), MaxHops);
  }

  /// The incarnation of a VM as another VM believes it: correct, outdated, or
  /// unknown.
  std::optional<Incarnation> believedIncarnationOf(const VmName &Name) {
    for (int I = 0; I < Vms; ++I)
      if (nameOf(I) == Name && draw(3) != 0)
        return Incarnation(m_Vms[I].IncarnationNumber - (draw(4) == 0 ? 1 : 0));
    return std::nullopt;
  }

  void deliver(int I, const Ticket &Given, int Hops) {
    TicketDecision Verdict = m_Vms[I].Tickets->begin(
        Given, m_Service, believedIncarnationOf(Given.Vm), m_Now);
    if (std::holds_alternative<RunTicket>(Verdict))
      run(I, Given);
    else if (const auto *Replay = std::get_if<ReplayOutcome>(&Verdict))
      checkReplay(Given, *Replay->Outcome);
    else if (const auto *Forward = std::get_if<ForwardTicket>(&Verdict))
      forward(*Forward, Given, Hops);
  }

  void forward(const ForwardTicket &Verdict, const Ticket &Given, int Hops) {
    if (Hops == 0 || draw(5) == 0)
      return;
    for (int I = 0; I < Vms; ++I)
      if (nameOf(I) == Verdict.Vm)
        deliver(I, Given, Hops - 1);
  }

  void run(int I, const Ticket &Given) {
    if (++m_Runs[toString(Given)] > 1)
      RC_FAIL("a request that is not repeatable ran twice");
    m_Running.push_back({.Vm = I,
                         .IncarnationNumber = m_Vms[I].IncarnationNumber,
                         .Given = Given});
  }

  void completeOne() {
    if (m_Running.empty())
      return;
    int Which = draw(static_cast<int>(m_Running.size()));
    Running Done = m_Running[Which];
    m_Running.erase(m_Running.begin() + Which);
    if (m_Vms[Done.Vm].IncarnationNumber != Done.IncarnationNumber)
      return;
    std::string Outcome = "outcome-" + std::to_string(draw(1000));
    m_Outcomes[toString(Done.Given)] = Outcome;
    m_Vms[Done.Vm].Tickets->complete(
        Done.Given, std::make_shared<const std::string>(Outcome), m_Now);
  }

  void checkReplay(const Ticket &Given, const std::string &Outcome) {
    if (m_Outcomes[toString(Given)] != Outcome)
      RC_FAIL("a retry got another outcome than the first request");
  }

  std::mt19937 m_Random;
  TimePoint m_Now{std::chrono::hours(1)};
  ServiceName m_Service{"claims"};
  Vm m_Vms[Vms];
  std::vector<std::string> m_Tickets;
  std::vector<Running> m_Running;
  std::map<std::string, int> m_Runs;
  std::map<std::string, std::string> m_Outcomes;
};

void proveAtMostOnce(ProofContext &Context) {
  Context.forAll("a ticket runs at most once, and replays its outcome", [&] {
    TicketModel Model(*rc::gen::arbitrary<std::uint32_t>());
    for (int I = 0; I < StepsInCase; ++I)
      Model.step();
    Context.countEvents(StepsInCase);
  });
}

const bool Registered = registerProof(
    {.Name = "at-most-once",
     .Property = "A request marked not repeatable runs at most once.",
     .Mutation = internal::Mutant::RunForeignTicket,
     .Run = proveAtMostOnce});

} // namespace

} // namespace carawaypond::proof
