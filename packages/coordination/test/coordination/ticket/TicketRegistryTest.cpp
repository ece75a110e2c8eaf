#include "coordination/ticket/TicketRegistry.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace carawaypond;

namespace {

const ServiceName Claims("claims");
constexpr TimePoint Start{std::chrono::hours(1)};

TicketRegistry makeBook(std::uint64_t IncarnationNumber = 7) {
  return TicketRegistry({.Self = VmName("vm-1"),
                         .IncarnationNumber = Incarnation(IncarnationNumber),
                         .Secret = 99,
                         .MaxOutcomeBytes = 8,
                         .MaxKeptBytes = 16});
}

template <typename T> bool is(const TicketDecision &Verdict) {
  return std::holds_alternative<T>(Verdict);
}

} // namespace

TEST_CASE("a ticket's request runs once, then its first outcome is replayed") {
  TicketRegistry Book = makeBook();
  Ticket Given = Book.issue(Claims, Start).value();
  std::optional<Incarnation> Self(7);
  CHECK(is<RunTicket>(Book.begin(Given, Claims, Self, Start)));
  CHECK(is<AwaitOutcome>(Book.begin(Given, Claims, Self, Start)));
  Book.complete(Given, std::make_shared<std::string>("done"), Start);
  TicketDecision Again = Book.begin(Given, Claims, Self, Start);
  REQUIRE(is<ReplayOutcome>(Again));
  CHECK(*std::get<ReplayOutcome>(Again).Outcome == "done");
  CHECK(is<TicketUnknown>(
      Book.begin(Given, Claims, Self, Start + std::chrono::seconds(61))));
}

TEST_CASE(
    "a ticket of an earlier incarnation is unknown, of another VM forwarded") {
  TicketRegistry Book = makeBook();
  Ticket Old{
      .Vm = VmName("vm-1"), .IncarnationNumber = Incarnation(6), .Number = 1};
  CHECK(is<TicketUnknown>(Book.begin(Old, Claims, Incarnation(7), Start)));
  Ticket Other{
      .Vm = VmName("vm-2"), .IncarnationNumber = Incarnation(3), .Number = 1};
  CHECK(is<ForwardTicket>(Book.begin(Other, Claims, Incarnation(3), Start)));
  CHECK(is<TicketUnknown>(Book.begin(Other, Claims, Incarnation(4), Start)));
  CHECK(is<TicketUnknown>(Book.begin(Other, Claims, std::nullopt, Start)));
}

TEST_CASE("a number that was not issued, or another service, is refused") {
  TicketRegistry Book = makeBook();
  Ticket Given = Book.issue(Claims, Start).value();
  Ticket Guessed = Given;
  ++Guessed.Number;
  CHECK(is<TicketRefused>(Book.begin(Guessed, Claims, {}, Start)));
  CHECK(is<TicketRefused>(Book.begin(Given, ServiceName("other"), {}, Start)));
}

TEST_CASE(
    "kept outcomes stay within their limit, and evicted ones are unknown") {
  TicketRegistry Book = makeBook();
  std::vector<Ticket> Tickets;
  for (int I = 0; I < 5; ++I) {
    Tickets.push_back(Book.issue(Claims, Start).value());
    Book.begin(Tickets.back(), Claims, {}, Start);
    Book.complete(Tickets.back(), std::make_shared<std::string>("12345678"),
                  Start);
  }
  CHECK(Book.keptBytes() <= 16);
  CHECK(is<TicketUnknown>(Book.begin(Tickets.front(), Claims, {}, Start)));
  CHECK(is<ReplayOutcome>(Book.begin(Tickets.back(), Claims, {}, Start)));
}

TEST_CASE("a ticket is parsed back from its text") {
  CHECK(rc::check([](std::uint64_t Number) {
    Ticket Given{.Vm = VmName("vm.1"),
                 .IncarnationNumber = Incarnation(5),
                 .Number = Number};
    RC_ASSERT(parseTicket(toString(Given)).value() == Given);
  }));
  for (const char *Wrong : {"", ".", "vm", "vm.1", "vm.x.1", "vm.1.", "vm.0.1",
                            ".1.1", "vm.1.99999999999999999999", "vm.1.-1"})
    CHECK(!parseTicket(Wrong));
}
