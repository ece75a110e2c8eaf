#pragma once

namespace carawaypond {

class TicketRegistry;
struct Ticket;
struct TicketRegistryOptions;

} // namespace carawaypond
