#pragma once

#include "FleetSize.h"

#include "coordination/node/ControlNode.h"
#include "daemon/control/IndexRegistry.h"
#include "daemon/control/VersionTable.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace carawaypond::bench {

/// @brief Counters of a fleet's activity during a measurement.
struct FleetCounts {
  std::uint64_t Exchanges = 0;
  std::uint64_t DigestBytes = 0; ///< Encoded size of requests and replies.
  std::uint64_t ServiceLists = 0;
  std::uint64_t ServiceWatches = 0;
};

/// @brief Control nodes of several data centres in one process. Digests are
/// passed by function call, but encoded and decoded as between daemons.
class ControlFleet {
public:
  explicit ControlFleet(FleetSize Size);

  [[nodiscard]] const FleetCounts &counts() const { return m_Counts; }
  /// @return The simulated time between two steps.
  [[nodiscard]] static Duration period();
  /// @brief Advances every node by one tick and runs its exchanges.
  void step();
  void resetCounts() { m_Counts = {}; }

private:
  struct Node {
    ControlNode Core;
    daemon::IndexRegistry Indexes;
    daemon::VersionTable Versions;
  };
  struct ReadVisitor;

  void loadInitialContent(Node &At);
  void receiveRemoteDigest(Node &At);
  void tickNode(std::size_t Place);
  void exchange(Node &From, const Contact &To);
  void take(Node &At, const Digest &Heard);
  void fetch(Node &To, const Node &From, const ConfigFetch &Wanted);
  Digest transfer(const Digest &Sent);
  [[nodiscard]] Digest makeDigest(Node &From, bool Full) const;
  void changeConfigs();
  void advanceVersions();

  FleetSize m_Size;
  TimePoint m_Now{std::chrono::hours(1)};
  std::vector<StoredService> m_Store;
  std::uint64_t m_Revision = 1;
  std::vector<Node> m_Nodes;
  std::map<VmName, std::size_t> m_Places;
  FleetCounts m_Counts;
  double m_PendingChanges = 0;
  std::size_t m_NextChange = 0;
  std::uint64_t m_NewestVersion = 1;
  std::uint64_t m_Steps = 0;
};

} // namespace carawaypond::bench
