#pragma once

#include <cstdint>
#include <string>

namespace carawaypond::standins {

/// @brief A query for records in one shard of one index version.
struct RecordQuery {
  std::string Field; ///< Empty matches nothing.
  std::string Value;
  std::string EchoToken; ///< If set, the answer is one record that carries it.
  std::uint32_t Shard = 0;
  std::uint32_t ShardCount = 1; ///< In the layout of Version.
  std::uint64_t Layout = 1;
  std::uint64_t Version = 1;
};

} // namespace carawaypond::standins
