#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace carawaypond {

/// @brief Selects the greatest records from the answers of many shards.
class GreatestRecords {
public:
  /// Size of one record. A shorter remainder at the end of a shard's answer is
  /// ignored.
  static constexpr std::size_t RecordBytes = 16;

  /// @param Wanted Maximum number of records in the merged answer.
  explicit GreatestRecords(std::size_t Wanted) : m_Wanted(Wanted) {}

  /// @return The greatest records, greatest first, compared byte by byte.
  [[nodiscard]] std::string take();

  /// @brief Adds the records of one shard, in any order.
  /// @param Records Not copied; must be valid until take() returns.
  void add(std::string_view Records);

private:
  std::size_t m_Wanted;
  std::vector<std::string_view> m_Records;
};

} // namespace carawaypond
