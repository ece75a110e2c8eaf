#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace carawaypond {

/// @brief Merges the records of many shards into the greatest of them.
class GreatestRecords {
public:
  /// The size of one record; a shorter rest of a shard's answer is none.
  static constexpr std::size_t RecordBytes = 16;

  /// @param Wanted How many records the answer has at most.
  explicit GreatestRecords(std::size_t Wanted) : m_Wanted(Wanted) {}

  /// @return The greatest records, greatest first, compared byte by byte.
  [[nodiscard]] std::string take();

  /// @brief Adds the records of one shard, in any order.
  /// @param Records Must outlive take().
  void add(std::string_view Records);

private:
  std::size_t m_Wanted;
  std::vector<std::string_view> m_Records;
};

} // namespace carawaypond
