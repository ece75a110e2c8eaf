#pragma once

#include "core/time/Time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <variant>
#include <vector>

namespace carawaypond {

/// @brief Intervals and timeouts for reading one kind of object from the store.
struct StoreReadSchedulerOptions {
  Milliseconds ListPeriod{1000}; ///< Of a watcher; each list proves recency.
  Milliseconds WatchTimeout{
      10000}; ///< How long the store may hold a watch open.
  Milliseconds RetryFloor{200};
  Milliseconds RetryCeiling{2000};
  Milliseconds Silence{
      2500}; ///< Age of the last store read that starts probes.
  Milliseconds ProbeSpacing{20}; ///< Between two probes in the whole fleet.
  std::uint64_t Seed = 1;        ///< Seed of the jitter; differs between VMs.
};

/// @brief Action: list all objects of the kind.
struct ListObjects {
  friend bool operator==(const ListObjects &, const ListObjects &) = default;
};

/// @brief Action: wait for objects that changed after a revision.
struct WatchObjects {
  std::uint64_t After = 0;
  Milliseconds Timeout{0};

  friend bool operator==(const WatchObjects &, const WatchObjects &) = default;
};

using StoreReadAction = std::variant<ListObjects, WatchObjects>;

/// @brief Schedules this VM's reads of one kind of object from the store. A
/// watcher lists once per period and keeps one watch open. Any other VM probes
/// the store only if no VM is known to have read it recently. A failed read is
/// retried with backoff and jitter, so that a store that comes back is not
/// overloaded.
class StoreReadScheduler {
public:
  explicit StoreReadScheduler(StoreReadSchedulerOptions Options);

  [[nodiscard]] bool isReachable() const { return m_Reachable; }

  /// @return The reads to start now.
  /// @param IsWatcher Whether chooseWatchers() named this VM.
  /// @param LiveVms Number of VMs that may probe at the same time.
  /// @param Upstream The time as of which this or another VM last read the
  /// store.
  std::vector<StoreReadAction> tick(bool IsWatcher, std::size_t LiveVms,
                                    std::optional<TimePoint> Upstream,
                                    TimePoint Now);
  /// @brief Handles the end of a list call.
  /// @param Revision The revision in the answer, or nullopt if the call failed.
  void onList(std::optional<std::uint64_t> Revision, TimePoint Now);
  /// @brief Handles the end of a watch call. After a failed watch, or one whose
  /// revision was too old, the next watch is opened after the next list.
  void onWatch(std::optional<std::uint64_t> Revision, TimePoint Now);

private:
  Duration jittered(Duration Around);
  [[nodiscard]] bool isUpstreamSilent(std::optional<TimePoint> Upstream,
                                      TimePoint Now) const;

  StoreReadSchedulerOptions m_Options;
  std::mt19937_64 m_Random;
  std::optional<TimePoint> m_NextList;
  std::uint64_t m_Revision = 0;
  Duration m_Backoff;
  bool m_Listing = false;
  bool m_Watching = false;
  bool m_MayWatch = false;
  bool m_Reachable = false;
  bool m_Probing = false;
};

} // namespace carawaypond
