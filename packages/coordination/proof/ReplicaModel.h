#pragma once

#include "coordination/replicas/ContactAge.h"
#include "coordination/replicas/ReplicaRegistry.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace carawaypond::proof {

/// @brief Several ReplicaRegistry instances in one process, with a store that
/// has outages and a history, and that goes back to older copies, and messages
/// that are delayed, reordered and repeated. All random choices come from one
/// seed.
class ReplicaModel {
public:
  static constexpr Milliseconds Step{100};
  /// Time without a fault after which rules with a time bound hold for a VM.
  static constexpr Milliseconds Stability{4'000};

  /// @brief One VM; each restart replaces its registry.
  struct Vm {
    ReplicaRegistry Replicas{ReplicaRegistryOptions{}};
    StoreRevision Cursor; ///< Of its watch; 0 if it must list.
    TimePoint CutUntil;   ///< Until when it does not reach the store.
    TimePoint AloneUntil; ///< Until when it does not reach the other VMs.
    TimePoint FaultEnd;   ///< End of its last fault.
    TimePoint NextRead;
    /// Servers that left, as it knew and has dropped them.
    std::set<ServerName> Dropped;
    std::set<ServerName> Used; ///< All that it ever used.
  };

  /// @brief A backend server: its life, and its entry in the store.
  struct Server {
    ServerName Id;
    std::uint64_t Revision = 0; ///< Of the last change of its entry.
    bool IsStored = true;
    bool IsAlive = true;
    TimePoint StoredSince;
    TimePoint ExpiresAt; ///< When an entry that only a copy holds expires.
    TimePoint ReturnsAt; ///< When it writes its entry again after an outage.
    TimePoint RemovedAt; ///< When the store acknowledged that it left.
    bool WasRemovedInCalm = false;
  };

  /// @param WithRestores Whether the store goes back to older copies.
  explicit ReplicaModel(std::uint32_t Seed, bool WithRestores = false);

  [[nodiscard]] TimePoint now() const { return m_Now; }
  [[nodiscard]] const std::vector<Vm> &vms() const { return m_Vms; }
  [[nodiscard]] const std::vector<Server> &servers() const { return m_Servers; }
  /// @return Whether rules with a time bound hold for @p Of now.
  [[nodiscard]] bool isInTouch(const Vm &Of) const;

  /// @brief Advances the time by Step; injects faults if @p WithFaults.
  void step(bool WithFaults);

private:
  struct Message {
    TimePoint Due;
    std::size_t To = 0;
    ReplicaList List;
    std::optional<ContactAge> Contact;
  };

  /// @brief What the store held at some time.
  struct Copy {
    TimePoint At;
    std::uint64_t Revision = 0;
    std::vector<Server> Servers;
  };

  /// @return The revision as a VM reads it now.
  [[nodiscard]] StoreRevision read(std::uint64_t Number) const {
    return StoreRevision(Number, m_Era);
  }
  [[nodiscard]] int draw(int Bound);
  [[nodiscard]] bool chance(int PerThousand) {
    return draw(1'000) < PerThousand;
  }
  [[nodiscard]] bool isOut() const { return m_Now < m_OutUntil; }
  void injectFaults();
  void addServer();
  void removeServer();
  void beginOutage();
  /// @brief Makes the store go away and come back from an older copy.
  void beginRestore();
  void keepCopy();
  void writeEntries();
  void readStore(Vm &By);
  void sendState(std::size_t From);
  void deliver();
  void noteDropped(Vm &Of);

  std::mt19937 m_Random;
  bool m_WithRestores = false;
  TimePoint m_Now{Milliseconds(1'000'000)};
  TimePoint m_OutUntil = TimePoint();
  std::uint64_t m_Revision = 1;
  StoreEra m_Era{1};
  std::deque<Copy> m_Copies; ///< Oldest first.
  std::vector<Vm> m_Vms;
  std::vector<Server> m_Servers;
  std::vector<Message> m_Messages;
};

} // namespace carawaypond::proof
