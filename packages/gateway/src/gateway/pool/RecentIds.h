#pragma once

#include <array>
#include <cstddef>
#include <functional>
#include <string_view>

namespace carawaypond::gateway {

/// @brief The ids of the latest requests on one connection.
///
/// A replica may send an answer twice, the second time late. Its request id
/// tells it from answers to other requests, but not from the answer to a
/// further request with the same id.
class RecentIds {
public:
  /// Number of ids that are kept. An extra answer comes where the next one is
  /// expected, so that a few would do.
  static constexpr std::size_t Capacity = 32;

  [[nodiscard]] bool contains(std::string_view Id) const {
    std::size_t Sought = hash(Id);
    for (std::size_t I = 0; I < m_Added && I < Capacity; ++I)
      if (m_Hashes[I] == Sought)
        return true;
    return false;
  }
  /// @brief Adds an id; the oldest one is forgotten beyond Capacity.
  void add(std::string_view Id) { m_Hashes[m_Added++ % Capacity] = hash(Id); }

private:
  static std::size_t hash(std::string_view Id) {
    return std::hash<std::string_view>()(Id);
  }

  std::array<std::size_t, Capacity> m_Hashes{};
  std::size_t m_Added = 0;
};

} // namespace carawaypond::gateway
