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

/// @brief Bounds of address answers.
struct AddressBookOptions {
  std::size_t MaxAddresses = 8;
  Milliseconds Lifetime{5000}; ///< VmDrainOptions::AddressLifetime.
};

/// @brief Who asks for addresses.
struct AddressQuestion {
  std::string Caller; ///< Anything that tells callers apart.
  std::optional<DataCentre> Centre;
};

/// @brief Which addresses to use, best first.
struct AddressAnswer {
  std::vector<std::string> Addresses;
  Milliseconds Valid{0};
};

/// @brief Answers which addresses callers should use. Live VMs of the caller's
/// data centre come first; within a data centre the order differs from caller
/// to caller and from answer to answer, so that each VM is first equally often.
class AddressBook {
public:
  explicit AddressBook(AddressBookOptions Options) : m_Options(Options) {}

  /// @param Self This VM, named when nobody else can be.
  /// @param Others Records of the other VMs.
  AddressAnswer answer(const AddressQuestion &Question, const VmRecord &Self,
                       const std::vector<VmRecord> &Others);

private:
  AddressBookOptions m_Options;
  std::uint64_t m_Rotation = 0;
};

} // namespace carawaypond
