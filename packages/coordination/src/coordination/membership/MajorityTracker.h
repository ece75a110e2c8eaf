#pragma once

#include "coordination/membership/Digest.h"
#include "core/id/Ids.h"
#include "core/time/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace carawaypond {

/// @brief Tracks how many VMs were heard as of which time: each VM of this data
/// centre separately, and one aggregate count for each other data centre. Only
/// replies are evidence. For a majority, a reply counts only if this VM holds
/// all configurations of the replying VM; then this VM holds whatever a
/// majority held as of that time.
class MajorityTracker {
public:
  explicit MajorityTracker(DataCentre Own) : m_Own(std::move(Own)) {}

  /// @return The latest time as of which more than half of @p Total VMs were
  /// heard as informed, including this one and at least one other; nullopt if
  /// there was no such time.
  [[nodiscard]] std::optional<TimePoint> majorityAsOf(std::size_t Total,
                                                      TimePoint Now) const;
  /// @return The latest time as of which @p Count other VMs, of whatever data
  /// centre, were heard directly; nullopt if fewer were heard.
  [[nodiscard]] std::optional<TimePoint> directAsOf(std::size_t Count) const;
  /// @return When the data centre was last heard of, directly or through other
  /// VMs.
  [[nodiscard]] std::optional<TimePoint>
  centreAsOf(const DataCentre &Centre) const;
  /// @return The counts of all data centres, to send in a digest.
  [[nodiscard]] std::vector<CentreHeard> summary(TimePoint Now,
                                                 Duration Window) const;

  /// @brief Records a reply to a request that was sent at @p SentAt.
  /// @param Covers See ConfigRegistry::covers().
  void onReply(const Digest &Reply, bool Covers, TimePoint SentAt);
  /// @brief Sets whether this VM itself counts as informed.
  void setInformed(bool Informed) { m_Informed = Informed; }
  void forget(const VmName &Name) { m_Peers.erase(Name); }

private:
  struct Peer {
    TimePoint DirectAsOf;
    TimePoint CoveredAsOf;
    bool Informed = false;
    bool SameCentre = false;
  };
  struct RemoteCentre {
    std::uint32_t Heard = 0;
    TimePoint AsOf;
  };

  void onCentre(const CentreHeard &Told, TimePoint SentAt);

  DataCentre m_Own;
  std::map<VmName, Peer> m_Peers; ///< VMs that answered this VM.
  std::map<DataCentre, RemoteCentre> m_Remotes;
  bool m_Informed = false;
};

} // namespace carawaypond
