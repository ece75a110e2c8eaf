#pragma once

#include "coordination/ticket/Ticket.h"
#include "coordination/ticket/TicketDecision.h"
#include "core/id/Ids.h"
#include "core/time/Time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace carawaypond {

/// @brief Identity and limits of a TicketRegistry.
struct TicketRegistryOptions {
  VmName Self;
  Incarnation IncarnationNumber;
  std::uint64_t Secret = 0;        ///< Random key of the checksum in a number.
  Milliseconds Validity{60000};    ///< Since the ticket was issued.
  std::size_t MaxTickets = 100000; ///< Issued and not yet expired.
  std::size_t MaxOutcomeBytes = 1U << 20U; ///< A larger one is not kept.
  std::size_t MaxKeptBytes = 16U << 20U;   ///< Total of all outcomes.
};

/// @brief Tickets that this VM incarnation issued, and the first outcomes of
/// their requests. A ticket's request runs at this incarnation at most once and
/// nowhere else. Expired tickets and evicted outcomes are answered as unknown.
class TicketRegistry {
public:
  explicit TicketRegistry(TicketRegistryOptions Options);

  /// @return The number of tickets that have not expired.
  [[nodiscard]] std::size_t size() const { return m_Entries.size(); }
  /// @return The size of all kept outcomes in bytes.
  [[nodiscard]] std::size_t keptBytes() const { return m_KeptBytes; }

  /// @brief Issues a ticket for one request to @p Service.
  /// @return The ticket, or Unavailable if too many have not expired.
  Result<Ticket> issue(const ServiceName &Service, TimePoint Now);
  /// @brief Decides what to do with a request that carries @p Given. After
  /// RunTicket the request counts as run, also if it fails.
  /// @param LiveIncarnation The incarnation of the ticket's VM that is alive as
  /// far as is known; nothing when the VM is gone.
  TicketDecision begin(const Ticket &Given, const ServiceName &Service,
                       std::optional<Incarnation> LiveIncarnation,
                       TimePoint Now);
  /// @brief Stores the first outcome of a ticket whose request was run.
  void complete(const Ticket &Given, TicketOutcome Outcome, TimePoint Now);

private:
  enum class Phase { Issued, Running, Done };
  struct Entry {
    ServiceName Service;
    TimePoint IssuedAt;
    Phase State = Phase::Issued;
    TicketOutcome Outcome; ///< Null if too large to keep, or evicted.
  };

  [[nodiscard]] std::uint64_t numberFor(std::uint64_t Sequence) const;
  [[nodiscard]] bool isIssued(std::uint64_t Number) const;
  TicketDecision beginOwn(const Ticket &Given, const ServiceName &Service);
  void expire(TimePoint Now);
  void evictOutcomes();

  TicketRegistryOptions m_Options;
  std::uint64_t m_NextSequence = 1;
  std::map<std::uint64_t, Entry>
      m_Entries;                         ///< By number; older ones are lower.
  std::deque<std::uint64_t> m_Completed; ///< Numbers with a kept outcome.
  std::size_t m_KeptBytes = 0;
};

} // namespace carawaypond
