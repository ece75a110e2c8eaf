#pragma once

#include "coordination/overload/AdmissionRequest.h"
#include "core/id/Ids.h"

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace carawaypond {

/// @brief Requests that wait to start: by priority, then the workspace with
/// the fewest requests in flight, then by arrival.
class AdmissionQueue {
public:
  /// @brief A waiting request.
  struct Entry {
    std::uint64_t Number = 0;
    AdmissionRequest Request;
  };

  [[nodiscard]] bool isEmpty() const { return m_Waiting.empty(); }
  /// @return The waiting requests, in the order in which they start.
  [[nodiscard]] std::vector<Entry> ordered() const;
  /// @return Whether the request waits.
  [[nodiscard]] bool contains(std::uint64_t Number) const;

  void add(Entry Added) { m_Waiting.push_back(std::move(Added)); }
  void erase(std::uint64_t Number);
  /// @brief Counts a request of @p Of that starts.
  void onStarted(const WorkspaceName &Of) { ++m_InFlight[Of]; }
  /// @brief Counts a request of @p Of that ends.
  void onEnded(const WorkspaceName &Of);

private:
  [[nodiscard]] std::size_t inFlight(const WorkspaceName &Of) const;

  std::vector<Entry> m_Waiting; ///< By arrival.
  std::unordered_map<WorkspaceName, std::size_t> m_InFlight;
};

} // namespace carawaypond
