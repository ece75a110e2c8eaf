#pragma once

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace carawaypond::standins {

/// @brief Calls by kind and method; a watch counts as one call.
class CallCounts {
public:
  /// @return `{"total", "dropped", "watching", "calls": {KIND: {METHOD:
  /// count}}}` with the methods GET, LIST, WATCH and PUT. The total excludes
  /// calls dropped during an outage.
  [[nodiscard]] nlohmann::json toJson() const;

  void count(const std::string &Kind, const std::string &Method);
  void countDropped() { ++m_Dropped; }
  void watchStarted() { ++m_Watching; }
  void watchEnded() { --m_Watching; }

private:
  std::map<std::string, std::map<std::string, std::uint64_t>> m_Calls;
  std::uint64_t m_Total = 0;
  std::uint64_t m_Dropped = 0;
  std::uint64_t m_Watching = 0;
};

} // namespace carawaypond::standins
