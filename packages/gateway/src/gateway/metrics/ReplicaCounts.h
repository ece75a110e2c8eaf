#pragma once

#include "coordination/replicas/ReplicaRecord.h"
#include "core/id/Ids.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace carawaypond::gateway {

/// @brief Counts the attempts by service and replica. Written by the traffic
/// thread; any thread may read them.
class ReplicaCounts {
public:
  /// Maximum number of replicas; the attempts at further ones are not counted.
  static constexpr std::size_t MaxReplicas = 1'024;

  /// @return The counters in the Prometheus text format; empty without any.
  [[nodiscard]] std::string prometheusText() const;

  void add(const ServiceName &Service, const ServerName &Replica);
  /// @brief Drops the counts of replicas that are not in @p Known.
  void retain(const std::vector<ReplicaRecord> &Known);

private:
  using Key = std::pair<ServiceName, ServerName>;
  using Counts = std::map<Key, std::uint64_t>;

  [[nodiscard]] Counts copy() const;

  mutable std::mutex m_Mutex;
  Counts m_Attempts;
};

} // namespace carawaypond::gateway
