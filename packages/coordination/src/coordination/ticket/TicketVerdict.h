#pragma once

#include "core/id/Ids.h"

#include <memory>
#include <string>
#include <variant>

namespace carawaypond {

/// @brief The first outcome of a request, as the caller was or would be told.
using TicketOutcome = std::shared_ptr<const std::string>;

/// @brief Run the request now; then call TicketBook::complete().
struct RunTicket {};
/// @brief The request has run; tell its first outcome again.
struct ReplayOutcome {
  TicketOutcome Outcome;
};
/// @brief The request is running; wait for its outcome.
struct AwaitOutcome {};
/// @brief Another VM gave the ticket out; pass the request on to it.
struct ForwardTicket {
  VmName Vm;
  Incarnation Life; ///< Only this incarnation may take it.
};
/// @brief It can't be told whether the request ran; it will not run again.
struct TicketUnknown {
  std::string Reason;
};
/// @brief No VM gave this ticket out, or it belongs to another service.
struct TicketRefused {
  std::string Reason;
};

using TicketVerdict = std::variant<RunTicket, ReplayOutcome, AwaitOutcome,
                                   ForwardTicket, TicketUnknown, TicketRefused>;

} // namespace carawaypond
