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

/// @brief A backend server: the versions it serves and what it runs.
class ServerModel {
public:
  explicit ServerModel(ServerName Name) : m_Name(std::move(Name)) {}

  [[nodiscard]] const ServerName &name() const { return m_Name; }
  [[nodiscard]] bool leaving() const { return m_Leaving; }
  [[nodiscard]] bool idle() const { return m_Running.empty(); }
  [[nodiscard]] std::vector<ReplicaVersions> status() const;

  void setLeaving(bool Leaving) { m_Leaving = Leaving; }
  void shedNext() { m_ShedNext = true; }
  void addServedShard(std::uint64_t Layout, ShardId Shard);
  /// @brief Raises the newest served version to @p Newest.
  void catchUp(IndexVersion Newest);
  /// @brief Raises the oldest served version to @p Oldest.
  void withdraw(IndexVersion Oldest);
  /// @brief Starts to run the subrequest, or refuses it.
  /// @return The refusal, or std::nullopt if the subrequest runs.
  std::optional<ReplyFromServer> receive(const AttemptToServer &Arrived,
                                         TimePoint Now);
  /// @brief Removes the running subrequest that @p Pick selects.
  RunningAttempt takeRunning(std::uint32_t Pick);
  /// @return The newest version of the subrequest's shard that it serves.
  [[nodiscard]] IndexVersion newestFor(const Subrequest &Request) const;

private:
  using Held = std::pair<std::uint64_t, ShardId>;

  [[nodiscard]] ServerRefusal versionRefusal(const Subrequest &Request) const;

  ServerName m_Name;
  std::map<Held, VersionRange> m_Held;
  std::vector<RunningAttempt> m_Running;
  bool m_Leaving = false;
  bool m_ShedNext = false;
};

} // namespace carawaypond::proof
