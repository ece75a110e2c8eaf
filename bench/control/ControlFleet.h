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

/// @brief What a fleet did while it was measured.
struct FleetCounts {
  std::uint64_t Exchanges = 0;
  std::uint64_t DigestBytes = 0; ///< Requests and replies, as encoded.
  std::uint64_t ServiceLists = 0;
  std::uint64_t ServiceWatches = 0;
};

/// @brief Control nodes of several data centres in one process. Digests pass
/// directly from one to the other, encoded and decoded as between daemons.
class ControlFleet {
public:
  explicit ControlFleet(FleetSize Size);

  [[nodiscard]] const FleetCounts &counts() const { return m_Counts; }
  /// @return The time between two steps.
  [[nodiscard]] static Duration period();
  /// @brief Advances every node by one tick, with its exchanges.
  void step();
  void resetCounts() { m_Counts = {}; }

private:
  struct Node {
    ControlNode Core;
    daemon::IndexRegistry Indexes;
    daemon::VersionTable Versions;
  };
  struct ReadVisitor;

  void fillWithContent(Node &At);
  void learnKnown(Node &At);
  void tickNode(std::size_t Place);
  void exchange(Node &From, const Contact &To);
  void take(Node &At, const Digest &Heard);
  void fetch(Node &To, const Node &From, const ConfigFetch &Wanted);
  Digest transfer(const Digest &Sent);
  [[nodiscard]] Digest makeDigest(Node &From, bool Full) const;
  void changeConfigs();
  void moveVersions();

  FleetSize m_Size;
  TimePoint m_Now{std::chrono::hours(1)};
  std::vector<StoredService> m_Store;
  std::uint64_t m_Revision = 1;
  std::vector<Node> m_Nodes;
  std::map<VmName, std::size_t> m_Places;
  FleetCounts m_Counts;
  double m_ChangesDue = 0;
  std::size_t m_NextChange = 0;
  std::uint64_t m_NewestVersion = 1;
  std::uint64_t m_Steps = 0;
};

} // namespace carawaypond::bench
