#pragma once

#include "coordination/membership/VmRecord.h"
#include "core/id/Ids.h"
#include "core/time/Time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace carawaypond {

/// @brief Options of address answers.
struct AddressSelectorOptions {
  std::size_t MaxAddresses = 8;
  Milliseconds Lifetime{5000}; ///< Must equal VmDrainOptions::AddressLifetime.
};

/// @brief A caller's request for addresses.
struct AddressQuestion {
  std::string Caller; ///< Any text that identifies the caller.
  std::optional<DataCentre> Centre;
};

/// @brief Addresses to use, in order of preference.
struct AddressAnswer {
  std::vector<std::string> Addresses;
  Milliseconds Valid{0};
};

/// @brief Selects the VM addresses that callers should use. Live VMs of the
/// caller's data centre come first. Within a data centre the order varies by
/// caller and by answer, so that each VM is first equally often.
class AddressSelector {
public:
  explicit AddressSelector(AddressSelectorOptions Options)
      : m_Options(Options) {}

  /// @param Self This VM. Included even if it is not live when no VM is usable.
  /// @param Others Records of the other VMs.
  AddressAnswer answer(const AddressQuestion &Question, const VmRecord &Self,
                       const std::vector<VmRecord> &Others);

private:
  AddressSelectorOptions m_Options;
  std::uint64_t m_Rotation = 0;
};

} // namespace carawaypond
