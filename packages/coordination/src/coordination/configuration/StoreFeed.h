#pragma once

#include "core/time/Time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <variant>
#include <vector>

namespace carawaypond {

/// @brief Periods of reading one kind of objects from the store.
struct StoreFeedOptions {
  Milliseconds ListPeriod{1000};    ///< Of a watcher; each proves recency.
  Milliseconds WatchTimeout{10000}; ///< For how long a watch may wait.
  Milliseconds RetryFloor{200};
  Milliseconds RetryCeiling{2000};
  Milliseconds Silence{2500};    ///< No store heard upstream for so long.
  Milliseconds ProbeSpacing{20}; ///< Between probes of the whole fleet.
  std::uint64_t Seed = 1;        ///< Of the jitter; differs between VMs.
};

/// @brief List all objects of the kind.
struct ListObjects {
  friend bool operator==(const ListObjects &, const ListObjects &) = default;
};

/// @brief Wait for objects that changed after a revision.
struct WatchObjects {
  std::uint64_t After = 0;
  Milliseconds Timeout{0};

  friend bool operator==(const WatchObjects &, const WatchObjects &) = default;
};

using StoreFeedAction = std::variant<ListObjects, WatchObjects>;

/// @brief When this VM reads one kind of objects. A watcher lists once a
/// period and keeps one watch open; another VM probes only when nobody
/// upstream hears the store. A failed read is repeated with back-off and
/// jitter, so that a store that returns is not stormed.
class StoreFeed {
public:
  explicit StoreFeed(StoreFeedOptions Options);

  [[nodiscard]] bool isReachable() const { return m_Reachable; }

  /// @brief Decides what to read now.
  /// @param IsWatcher Whether chooseWatchers() named this VM.
  /// @param LiveVms How many VMs may probe at once.
  /// @param Upstream As of when the store was read by this VM or another.
  std::vector<StoreFeedAction> tick(bool IsWatcher, std::size_t LiveVms,
                                    std::optional<TimePoint> Upstream,
                                    TimePoint Now);
  /// @brief Takes the end of a list call.
  /// @param Revision What the answer stated, nothing when the call failed.
  void onList(std::optional<std::uint64_t> Revision, TimePoint Now);
  /// @brief Takes the end of a watch call. A failed one, or one whose
  /// revision is too old, is opened again after the next list.
  void onWatch(std::optional<std::uint64_t> Revision, TimePoint Now);

private:
  Duration jittered(Duration Around);
  [[nodiscard]] bool isUpstreamSilent(std::optional<TimePoint> Upstream,
                                      TimePoint Now) const;

  StoreFeedOptions m_Options;
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
