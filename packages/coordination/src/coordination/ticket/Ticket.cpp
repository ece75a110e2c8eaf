#include "coordination/ticket/Ticket.h"

#include <charconv>
#include <optional>

namespace carawaypond {

namespace {

constexpr std::size_t MaxTicketBytes = 320;

std::optional<std::uint64_t> parseNumber(std::string_view Text) {
  std::uint64_t Number = 0;
  const char *End = Text.data() + Text.size();
  auto [Rest, Problem] = std::from_chars(Text.data(), End, Number);
  if (Text.empty() || Problem != std::errc() || Rest != End)
    return std::nullopt;
  return Number;
}

auto refuse(std::string_view Text, std::string_view What) {
  return failure(ErrorCode::InvalidInput,
                 "ticket \"" + std::string(Text.substr(0, MaxTicketBytes)) +
                     "\": " + std::string(What));
}

} // namespace

Result<Ticket> parseTicket(std::string_view Text) {
  if (Text.size() > MaxTicketBytes)
    return refuse(Text, "is longer than 320 bytes");
  std::size_t Last = Text.rfind('.');
  std::size_t First = Last == std::string_view::npos || Last == 0
                          ? std::string_view::npos
                          : Text.rfind('.', Last - 1);
  if (First == std::string_view::npos || First == 0)
    return refuse(Text, "must read vm.incarnation.number");
  std::optional<std::uint64_t> IncarnationNumber =
      parseNumber(Text.substr(First + 1, Last - First - 1));
  if (!IncarnationNumber || *IncarnationNumber == 0)
    return refuse(Text, "its incarnation must be a positive integer");
  std::optional<std::uint64_t> Number = parseNumber(Text.substr(Last + 1));
  if (!Number)
    return refuse(Text, "its number must be an integer of at most 64 bits");
  return Ticket{.Vm = VmName(std::string(Text.substr(0, First))),
                .IncarnationNumber = Incarnation(*IncarnationNumber),
                .Number = *Number};
}

std::string toString(const Ticket &Value) {
  return Value.Vm.value() + "." +
         std::to_string(Value.IncarnationNumber.value()) + "." +
         std::to_string(Value.Number);
}

} // namespace carawaypond
