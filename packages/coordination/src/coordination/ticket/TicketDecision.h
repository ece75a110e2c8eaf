#pragma once

#include "core/id/Ids.h"

#include <memory>
#include <string>
#include <variant>

namespace carawaypond {

/// @brief The first outcome of a request, as sent to the caller.
using TicketOutcome = std::shared_ptr<const std::string>;

/// @brief Run the request now; then call TicketRegistry::complete().
struct RunTicket {};
/// @brief The request has run; send its first outcome again.
struct ReplayOutcome {
  TicketOutcome Outcome;
};
/// @brief The request is running; wait for its outcome.
struct AwaitOutcome {};
/// @brief Another VM issued the ticket; forward the request to it.
struct ForwardTicket {
  VmName Vm;
  Incarnation IncarnationNumber; ///< Only this incarnation may run it.
};
/// @brief It is unknown whether the request ran; it will not run again.
struct TicketUnknown {
  std::string Reason;
};
/// @brief No VM issued this ticket, or it belongs to another service.
struct TicketRefused {
  std::string Reason;
};

using TicketDecision =
    std::variant<RunTicket, ReplayOutcome, AwaitOutcome, ForwardTicket,
                 TicketUnknown, TicketRefused>;

} // namespace carawaypond
