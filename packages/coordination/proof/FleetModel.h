#pragma once

#include "coordination/configuration/SubmissionPlan.h"
#include "coordination/node/ControlNode.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <tuple>
#include <vector>

namespace carawaypond::proof {

/// @brief The faults that a FleetModel injects. Pause, Restart, Partition and
/// StoreOutage are chances per step, in 1,000.
struct Faults {
  int LossPercent = 0;
  Milliseconds MaxDelay{100};
  int Pause = 0;
  int Restart = 0;
  int Partition = 0;
  int StoreOutage = 0;
  Milliseconds LongestPause{12000};
  Milliseconds LongestPartition{20000};
};

/// @brief Several ControlNodes in one process, with a store, over a network
/// that delays, reorders and loses messages. All random choices come from one
/// seed.
class FleetModel {
public:
  static constexpr Milliseconds Step{50};

  /// @brief One VM; each restart replaces its ControlNode.
  struct Slot {
    VmName Name;
    DataCentre Centre;
    std::unique_ptr<ControlNode> Node; ///< Null while down.
    std::uint64_t IncarnationNumber = 0;
    TimePoint StartAt;
    TimePoint PausedUntil;
    TimePoint NextTick;
    TimePoint LastFaultEnd; ///< When its last restart or pause ended.
    int Group = 0;          ///< Only VMs of one group can communicate.
    bool CanReachStore = true;
    std::vector<std::function<void()>> Inbox; ///< Events during a pause.
  };

  /// @brief One configuration version that was written to the store.
  struct StoredVersion {
    SubmissionId Submission;
    TimePoint At;
  };

  using WriteDone = std::function<void(WriteResult)>;
  using ReadDone = std::function<void(Result<std::optional<StoredObject>>)>;

  FleetModel(std::uint32_t Seed, int Vms, int Centres, Faults Chances);

  [[nodiscard]] TimePoint now() const { return m_Now; }
  [[nodiscard]] std::vector<Slot> &slots() { return m_Slots; }
  [[nodiscard]] std::uint64_t events() const { return m_Events; }
  /// @return Whether the VM runs and is not paused.
  [[nodiscard]] bool isRunning(const Slot &Vm) const;
  /// @return The time since which there was no fault.
  [[nodiscard]] TimePoint faultFreeSince() const { return m_FaultFreeSince; }
  [[nodiscard]] const std::map<ServiceName,
                               std::map<ConfigVersion, StoredVersion>> &
  log() const {
    return m_Log;
  }
  int draw(int Below);

  /// @brief Advances by one step: faults, then Check, then messages and ticks.
  /// Check sees a VM whose pause just ended before it handles any event.
  void step(const std::function<void()> &Check);
  void startFaults() { m_WithFaults = true; }
  void stopFaults();
  /// @brief Makes the store unavailable to all VMs.
  void beginStoreOutage(Duration For) { m_StoreDownUntil = m_Now + For; }
  /// @brief Stops a VM; it restarts after @p Down, without any state.
  void restart(std::size_t Vm, Duration Down);
  /// @brief Reads or writes the store for @p Vm. If the response is lost, the
  /// result is an error or InDoubt.
  void read(std::size_t Vm, const ReadObject &Action, const ReadDone &Done);
  void write(std::size_t Vm, const WriteObject &Action, const WriteDone &Done);
  /// @brief Runs @p Event at the VM after a random delay, unless the VM
  /// restarts before.
  void deliver(std::size_t Vm, std::function<void()> Event);

private:
  struct TimedEvent {
    TimePoint At;
    std::uint64_t Order;
    std::function<void()> Run;
    friend bool operator>(const TimedEvent &Left, const TimedEvent &Right) {
      return std::tie(Left.At, Left.Order) > std::tie(Right.At, Right.Order);
    }
  };

  void start(std::size_t Vm);
  void injectFaults();
  void recordFault(Slot &Vm, TimePoint Until);
  void wake(Slot &Vm);
  void tick(std::size_t Vm);
  void exchange(std::size_t From, const Contact &To);
  void fetch(std::size_t From, std::size_t To, const ConfigFetch &Wanted);
  void list(std::size_t Vm);
  void watch(std::size_t Vm, const WatchObjects &Action);
  void schedule(TimePoint At, std::function<void()> Run);
  [[nodiscard]] std::size_t indexOf(const VmName &Name) const;
  [[nodiscard]] bool canCommunicate(std::size_t From, std::size_t To) const;
  [[nodiscard]] std::vector<StoredService> storedServices() const;
  void applyWrite(const WriteObject &Action, WriteResult &Answer);
  Duration delay();
  bool isLost();
  bool chance(int InThousand);
  bool isStoreReachable(std::size_t Vm);

  std::mt19937 m_Random;
  Faults m_Faults;
  bool m_WithFaults = false;
  TimePoint m_Now{std::chrono::hours(1)};
  TimePoint m_FaultFreeSince = m_Now;
  TimePoint m_StoreDownUntil;
  TimePoint m_PartitionedUntil;
  std::vector<Slot> m_Slots;
  std::vector<ListedVm> m_Listed;
  std::map<ServiceName, StoredObject> m_Store;
  std::map<ServiceName, std::map<ConfigVersion, StoredVersion>> m_Log;
  std::uint64_t m_Revision = 1;
  std::priority_queue<TimedEvent, std::vector<TimedEvent>, std::greater<>>
      m_Queue;
  std::uint64_t m_Events = 0;
};

} // namespace carawaypond::proof
