#include "coordination/ticket/TicketRegistry.h"

#include "coordination/internal/Mutant.h"
#include "core/invariant/Invariant.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <utility>

namespace carawaypond {

namespace {

constexpr unsigned CheckBits = 20;
constexpr std::uint64_t CheckMask = (1U << CheckBits) - 1;

} // namespace

TicketRegistry::TicketRegistry(TicketRegistryOptions Options)
    : m_Options(std::move(Options)) {}

std::uint64_t TicketRegistry::numberFor(std::uint64_t Sequence) const {
  std::uint64_t Check =
      XXH64(&Sequence, sizeof(Sequence), m_Options.Secret) & CheckMask;
  return (Sequence << CheckBits) | Check;
}

bool TicketRegistry::isIssued(std::uint64_t Number) const {
  std::uint64_t Sequence = Number >> CheckBits;
  return Sequence > 0 && Sequence < m_NextSequence &&
         numberFor(Sequence) == Number;
}

Result<Ticket> TicketRegistry::issue(const ServiceName &Service,
                                     TimePoint Now) {
  expire(Now);
  if (m_Entries.size() >= m_Options.MaxTickets)
    return failure(ErrorCode::Unavailable,
                   std::to_string(m_Entries.size()) +
                       " tickets are out, and no more are kept");
  std::uint64_t Number = numberFor(m_NextSequence);
  ++m_NextSequence;
  m_Entries.emplace(Number, Entry{.Service = Service,
                                  .IssuedAt = Now,
                                  .State = Phase::Issued,
                                  .Outcome = nullptr});
  return Ticket{.Vm = m_Options.Self,
                .IncarnationNumber = m_Options.IncarnationNumber,
                .Number = Number};
}

TicketDecision TicketRegistry::begin(const Ticket &Given,
                                     const ServiceName &Service,
                                     std::optional<Incarnation> LiveIncarnation,
                                     TimePoint Now) {
  expire(Now);
  bool IsOwn = Given.Vm == m_Options.Self &&
               Given.IncarnationNumber == m_Options.IncarnationNumber;
  if (IsOwn)
    return beginOwn(Given, Service);
  if (internal::isMutant(internal::Mutant::RunForeignTicket) &&
      !LiveIncarnation)
    return RunTicket{};
  if (Given.Vm == m_Options.Self)
    return TicketUnknown{.Reason = "the VM was restarted since"};
  if (!LiveIncarnation)
    return TicketUnknown{.Reason = "the VM that gave it out is gone"};
  if (*LiveIncarnation != Given.IncarnationNumber)
    return TicketUnknown{.Reason =
                             "the VM that gave it out was restarted since"};
  return ForwardTicket{.Vm = Given.Vm,
                       .IncarnationNumber = Given.IncarnationNumber};
}

TicketDecision TicketRegistry::beginOwn(const Ticket &Given,
                                        const ServiceName &Service) {
  if (!isIssued(Given.Number))
    return TicketRefused{.Reason = "no such ticket was given out"};
  auto Found = m_Entries.find(Given.Number);
  if (Found == m_Entries.end())
    return TicketUnknown{.Reason = "the ticket is no longer valid"};
  Entry &Known = Found->second;
  if (Known.Service != Service)
    return TicketRefused{.Reason = "the ticket is for service \"" +
                                   Known.Service.value() + "\""};
  switch (Known.State) {
  case Phase::Issued:
    Known.State = Phase::Running;
    return RunTicket{};
  case Phase::Running:
    return AwaitOutcome{};
  case Phase::Done:
    break;
  }
  if (!Known.Outcome)
    return TicketUnknown{.Reason = "it ran, and its outcome is not kept"};
  return ReplayOutcome{.Outcome = Known.Outcome};
}

void TicketRegistry::complete(const Ticket &Given, TicketOutcome Outcome,
                              TimePoint Now) {
  expire(Now);
  auto Found = m_Entries.find(Given.Number);
  if (Given.IncarnationNumber != m_Options.IncarnationNumber ||
      Found == m_Entries.end())
    return;
  Entry &Known = Found->second;
  CARAWAYPOND_INVARIANT(Known.State == Phase::Running,
                        "a ticket was completed that was not running");
  Known.State = Phase::Done;
  if (!Outcome || Outcome->size() > m_Options.MaxOutcomeBytes)
    return;
  m_KeptBytes += Outcome->size();
  Known.Outcome = std::move(Outcome);
  m_Completed.push_back(Given.Number);
  evictOutcomes();
}

void TicketRegistry::evictOutcomes() {
  while (m_KeptBytes > m_Options.MaxKeptBytes) {
    CARAWAYPOND_INVARIANT(
        !m_Completed.empty(),
        "the size of kept outcomes is positive but none is kept");
    auto Found = m_Entries.find(m_Completed.front());
    m_Completed.pop_front();
    if (Found == m_Entries.end() || !Found->second.Outcome)
      continue;
    m_KeptBytes -= Found->second.Outcome->size();
    Found->second.Outcome.reset();
  }
}

void TicketRegistry::expire(TimePoint Now) {
  while (!m_Entries.empty()) {
    auto Oldest = m_Entries.begin();
    if (Now - Oldest->second.IssuedAt <= m_Options.Validity)
      return;
    if (Oldest->second.Outcome)
      m_KeptBytes -= Oldest->second.Outcome->size();
    m_Entries.erase(Oldest);
  }
  m_Completed.clear();
}

} // namespace carawaypond
