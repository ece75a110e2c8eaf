#pragma once

#include "backends/log/RunLogEntry.h"

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace carawaypond::standins {

/// @brief Events of recent subrequests, and the number of runs for each echo
/// token. Drops the oldest entries and tokens beyond the capacity.
class RunLog {
public:
  static constexpr std::size_t DefaultCapacity = 1U << 20U;

  explicit RunLog(std::size_t Capacity = DefaultCapacity)
      : m_Capacity(Capacity) {}

  /// @return The text of `{"first", "next", "entries": [..]}` with at most
  /// @p Limit entries whose sequence number is above @p Seq.
  [[nodiscard]] std::string entriesAfter(std::uint64_t Seq,
                                         std::size_t Limit) const;
  /// @return `{"token", "runs", "shards": [{"service", "shard", "runs"}]}`;
  /// a run counts once it has started.
  [[nodiscard]] nlohmann::json runsOf(const std::string &Token) const;

  void add(RunLogEntry Entry);

private:
  struct ShardRuns {
    std::string_view Service;
    std::uint32_t Shard = 0;
    std::uint32_t Runs = 0;
  };

  void countRun(const RunLogEntry &Entry);

  std::size_t m_Capacity;
  std::uint64_t m_LastSeq = 0;
  std::deque<RunLogEntry> m_Entries;
  std::unordered_map<std::string, std::vector<ShardRuns>> m_Runs;
  std::deque<std::string> m_Tokens; ///< Oldest first.
};

} // namespace carawaypond::standins
