#pragma once

#include "core/id/Ids.h"
#include "core/outcome/Result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace carawaypond {

/// @brief Identifies one request that must run at most once. Only the VM
/// incarnation that issued the ticket may run the request.
struct Ticket {
  VmName Vm;
  Incarnation IncarnationNumber;
  std::uint64_t Number = 0; ///< Sequence number and keyed checksum.

  friend bool operator==(const Ticket &, const Ticket &) = default;
};

/// @brief Parses "vm.incarnation.number". The VM's name may contain dots.
[[nodiscard]] Result<Ticket> parseTicket(std::string_view Text);

/// @brief Formats @p Value as parseTicket() expects it.
[[nodiscard]] std::string toString(const Ticket &Value);

} // namespace carawaypond
