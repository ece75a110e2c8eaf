#pragma once

#include "Messages.h"

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace carawaypond::proof {

/// @brief A subrequest that a backend server has begun to run.
struct RunningAttempt {
  VmName Owner;
  SendAttempt Send;
};

/// @brief What a backend server really does.
class ServerModel {
public:
  explicit ServerModel(ServerName Name) : m_Name(std::move(Name)) {}

  [[nodiscard]] const ServerName &name() const { return m_Name; }
  [[nodiscard]] bool leaving() const { return m_Leaving; }
  [[nodiscard]] bool idle() const { return m_Running.empty(); }
  [[nodiscard]] std::vector<ReplicaVersions> status() const;

  void setLeaving(bool Leaving) { m_Leaving = Leaving; }
  void shedNext() { m_Shed = true; }
  void holdShard(std::uint64_t Layout, ShardId Shard);
  /// @brief Serves versions up to @p Newest from now on.
  void catchUp(IndexVersion Newest);
  /// @brief Serves nothing older than @p Oldest from now on.
  void withdraw(IndexVersion Oldest);
  /// @brief Starts to run the subrequest, or refuses it.
  /// @return The refusal, or nothing when it runs.
  std::optional<FromServer> receive(const ToServer &Arrived, TimePoint Now);
  /// @brief Ends the running subrequest that @p Pick chooses.
  RunningAttempt takeRunning(std::uint32_t Pick);
  /// @return The newest version that it serves of the subrequest's shard.
  [[nodiscard]] IndexVersion newestFor(const Subrequest &Request) const;

private:
  using Held = std::pair<std::uint64_t, ShardId>;

  [[nodiscard]] ServerRefusal versionRefusal(const Subrequest &Request) const;

  ServerName m_Name;
  std::map<Held, VersionRange> m_Held;
  std::vector<RunningAttempt> m_Running;
  bool m_Leaving = false;
  bool m_Shed = false;
};

} // namespace carawaypond::proof
