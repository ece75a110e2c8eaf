#pragma once

#include "core/id/StrongId.h"

#include <compare>
#include <cstdint>
#include <ostream>

namespace carawaypond {

/// @brief A period in which the platform's store loses nothing that it has
/// acknowledged. Greater each time that the store comes back from an older
/// copy; 0 if the store does not name it.
using StoreEra = StrongId<struct StoreEraTag, std::uint64_t>;

/// @brief A revision of the platform's store. Within an era each change has a
/// greater one.
///
/// A store that comes back from a copy gives numbers out again. What it holds
/// then follows all that it held in earlier eras, so the era is compared first.
class StoreRevision {
public:
  StoreRevision() = default;
  explicit StoreRevision(std::uint64_t Number, StoreEra Era = {})
      : m_Era(Era), m_Number(Number) {}

  [[nodiscard]] const StoreEra &era() const { return m_Era; }
  /// @return The number that the store gave it, for codecs and messages.
  [[nodiscard]] std::uint64_t number() const { return m_Number; }

  friend bool operator==(const StoreRevision &,
                         const StoreRevision &) = default;
  friend auto operator<=>(const StoreRevision &,
                          const StoreRevision &) = default;

  friend std::ostream &operator<<(std::ostream &Out, const StoreRevision &Of) {
    return Out << Of.m_Era << ":" << Of.m_Number;
  }

private:
  StoreEra m_Era; ///< Declared first, so that it is compared first.
  std::uint64_t m_Number = 0;
};

} // namespace carawaypond
