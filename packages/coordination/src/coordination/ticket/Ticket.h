#pragma once

#include "core/id/Ids.h"
#include "core/outcome/Result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace carawaypond {

/// @brief Names one request that must run at most once. Only the incarnation
/// that gave it out may run it.
struct Ticket {
  VmName Vm;
  Incarnation Life;
  std::uint64_t Number = 0; ///< From the VM's counter, with a check.

  friend bool operator==(const Ticket &, const Ticket &) = default;
};

/// @brief Reads "vm.incarnation.number"; the VM's name may hold dots.
[[nodiscard]] Result<Ticket> parseTicket(std::string_view Text);

/// @brief Writes @p Value as parseTicket() reads it.
[[nodiscard]] std::string toString(const Ticket &Value);

} // namespace carawaypond
