#pragma once

#include "coordination/ticket/Ticket.h"
#include "coordination/ticket/TicketVerdict.h"
#include "core/id/Ids.h"
#include "core/time/Time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace carawaypond {

/// @brief Bounds of a TicketBook.
struct TicketBookOptions {
  VmName Self;
  Incarnation Life;
  std::uint64_t Secret = 0;                ///< Random; keys the number's check.
  Milliseconds Validity{60000};            ///< From issue.
  std::size_t MaxTickets = 100000;         ///< Given out and not yet expired.
  std::size_t MaxOutcomeBytes = 1U << 20U; ///< A larger one is not kept.
  std::size_t MaxKeptBytes = 16U << 20U;   ///< Of all outcomes.
};

/// @brief Tickets that this incarnation gave out, and their first outcomes.
/// A ticket runs here, once, or nowhere: what is forgotten is unknown.
class TicketBook {
public:
  explicit TicketBook(TicketBookOptions Options);

  /// @return Tickets that are remembered now.
  [[nodiscard]] std::size_t size() const { return m_Entries.size(); }
  /// @return Bytes of the outcomes that are kept.
  [[nodiscard]] std::size_t keptBytes() const { return m_KeptBytes; }

  /// @brief Gives out a ticket for one request to @p Service.
  /// @return The ticket, or Unavailable when too many are out.
  Result<Ticket> issue(const ServiceName &Service, TimePoint Now);
  /// @brief Decides what to do with a request that carries @p Given. After
  /// RunTicket the ticket counts as run, whatever happens.
  /// @param Holder The incarnation of the ticket's VM that is alive as far as
  /// is known; nothing when the VM is gone.
  TicketVerdict begin(const Ticket &Given, const ServiceName &Service,
                      std::optional<Incarnation> Holder, TimePoint Now);
  /// @brief Keeps the first outcome of a ticket that began.
  void complete(const Ticket &Given, TicketOutcome Outcome, TimePoint Now);

private:
  enum class Phase { Issued, Running, Done };
  struct Entry {
    ServiceName Service;
    TimePoint IssuedAt;
    Phase State = Phase::Issued;
    TicketOutcome Outcome; ///< Null when done but too large to keep.
  };

  [[nodiscard]] std::uint64_t numberFor(std::uint64_t Sequence) const;
  [[nodiscard]] bool isIssued(std::uint64_t Number) const;
  TicketVerdict beginOwn(const Ticket &Given, const ServiceName &Service);
  void expire(TimePoint Now);
  void evictOutcomes();

  TicketBookOptions m_Options;
  std::uint64_t m_NextSequence = 1;
  std::map<std::uint64_t, Entry> m_Entries; ///< By number; older is lower.
  std::deque<std::uint64_t> m_Completed;    ///< Numbers with a kept outcome.
  std::size_t m_KeptBytes = 0;
};

} // namespace carawaypond
