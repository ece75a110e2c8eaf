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

/// @brief Which faults a FleetModel brings about, each with its chance in
/// 1,000 per step.
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
/// that delays, reorders and loses messages. All chances come from one seed.
class FleetModel {
public:
  static constexpr Milliseconds Step{50};

  /// @brief One VM's place; restarts fill it with new lives.
  struct Slot {
    VmName Name;
    DataCentre Centre;
    std::unique_ptr<ControlNode> Node; ///< Null while down.
    std::uint64_t Life = 0;
    TimePoint StartAt;
    TimePoint PausedUntil;
    TimePoint NextTick;
    TimePoint LastDisturbed; ///< When a restart or pause of it ended last.
    int Group = 0;           ///< Only VMs of one group hear each other.
    bool HearsStore = true;
    std::vector<std::function<void()>> Inbox; ///< While paused.
  };

  /// @brief One version in the store.
  struct StoredLog {
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
  [[nodiscard]] bool isAwake(const Slot &Vm) const;
  /// @return Since when there was no fault.
  [[nodiscard]] TimePoint calmSince() const { return m_CalmSince; }
  [[nodiscard]] const std::map<ServiceName, std::map<ConfigVersion, StoredLog>>
      &log() const {
    return m_Log;
  }
  int draw(int Below);

  /// @brief Lets one step pass: faults, then Check, then messages and ticks.
  /// Check sees a VM that just woke before it handles anything.
  void step(const std::function<void()> &Check);
  void startFaults() { m_WithFaults = true; }
  void stopFaults();
  /// @brief Takes the store away from all VMs.
  void stopStore(Duration For) { m_StoreDownUntil = m_Now + For; }
  /// @brief Ends a VM; its successor starts after @p Down, knowing nothing.
  void restart(std::size_t Vm, Duration Down);
  /// @brief Reads or writes the store for @p Vm; the answer may be lost, and
  /// then comes as an error or InDoubt.
  void read(std::size_t Vm, const ReadObject &Action, const ReadDone &Done);
  void write(std::size_t Vm, const WriteObject &Action, const WriteDone &Done);
  /// @brief Runs @p Event at the VM after a random delay, unless it restarts.
  void deliver(std::size_t Vm, std::function<void()> Event);

private:
  struct Timed {
    TimePoint At;
    std::uint64_t Order;
    std::function<void()> Run;
    friend bool operator>(const Timed &Left, const Timed &Right) {
      return std::tie(Left.At, Left.Order) > std::tie(Right.At, Right.Order);
    }
  };

  void start(std::size_t Vm);
  void injectFaults();
  void disturb(Slot &Vm, TimePoint Until);
  void wake(Slot &Vm);
  void tick(std::size_t Vm);
  void exchange(std::size_t From, const Contact &To);
  void fetch(std::size_t From, std::size_t To, const ConfigFetch &Wanted);
  void list(std::size_t Vm);
  void watch(std::size_t Vm, const WatchObjects &Action);
  void schedule(TimePoint At, std::function<void()> Run);
  [[nodiscard]] std::size_t indexOf(const VmName &Name) const;
  [[nodiscard]] bool canHear(std::size_t From, std::size_t To) const;
  [[nodiscard]] std::vector<StoredService> storedServices() const;
  void applyWrite(const WriteObject &Action, WriteResult &Answer);
  Duration delay();
  bool isLost();
  bool chance(int InThousand);
  bool reachesStore(std::size_t Vm);

  std::mt19937 m_Random;
  Faults m_Faults;
  bool m_WithFaults = false;
  TimePoint m_Now{std::chrono::hours(1)};
  TimePoint m_CalmSince = m_Now;
  TimePoint m_StoreDownUntil;
  TimePoint m_PartedUntil;
  std::vector<Slot> m_Slots;
  std::vector<ListedVm> m_Listed;
  std::map<ServiceName, StoredObject> m_Store;
  std::map<ServiceName, std::map<ConfigVersion, StoredLog>> m_Log;
  std::uint64_t m_Revision = 1;
  std::priority_queue<Timed, std::vector<Timed>, std::greater<>> m_Queue;
  std::uint64_t m_Events = 0;
};

} // namespace carawaypond::proof
