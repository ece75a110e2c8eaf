#pragma once

namespace carawaypond {

class TicketBook;
struct Ticket;
struct TicketBookOptions;

} // namespace carawaypond
