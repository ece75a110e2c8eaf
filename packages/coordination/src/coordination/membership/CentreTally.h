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

/// @brief How many VMs were heard as of when: those of this data centre one by
/// one, those of the others as one number each. Only replies are evidence, and
/// for a majority only replies of VMs whose configurations this VM all holds:
/// what a majority knew as of that time, this VM knows too.
class CentreTally {
public:
  explicit CentreTally(DataCentre Own) : m_Own(std::move(Own)) {}

  /// @return The latest time as of which more than half of @p Total VMs were
  /// heard as informed, this one and at least one other among them; nothing
  /// when that many never were.
  [[nodiscard]] std::optional<TimePoint> majorityAsOf(std::size_t Total,
                                                      TimePoint Now) const;
  /// @return The latest time as of which @p Count other VMs, of whatever data
  /// centre, were heard directly.
  [[nodiscard]] std::optional<TimePoint> directAsOf(std::size_t Count) const;
  /// @return When the data centre was last heard of, directly or not.
  [[nodiscard]] std::optional<TimePoint>
  centreAsOf(const DataCentre &Centre) const;
  /// @return What to tell others.
  [[nodiscard]] std::vector<CentreHeard> summary(TimePoint Now,
                                                 Duration Window) const;

  /// @brief Takes the evidence in a reply to a request sent at @p SentAt.
  /// @param Covers See ConfigBook::covers().
  void onReply(const Digest &Reply, bool Covers, TimePoint SentAt);
  /// @brief Whether this VM counts as informed itself.
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
  std::map<VmName, Peer> m_Peers; ///< Those that answered this VM.
  std::map<DataCentre, RemoteCentre> m_Remotes;
  bool m_Informed = false;
};

} // namespace carawaypond
