#pragma once

#include "coordination/membership/ArrivalHistory.h"
#include "coordination/membership/Contact.h"
#include "coordination/membership/Digest.h"
#include "coordination/membership/ListedVm.h"
#include "coordination/membership/MajorityTracker.h"
#include "coordination/membership/MembershipOptions.h"
#include "coordination/membership/VmTable.h"
#include "core/time/Time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace carawaypond {

/// @brief Failure detection and membership of the fleet. VMs of one data centre
/// exchange digests directly; a few representatives exchange digests between
/// data centres. A VM applies timeouts to each VM of its own data centre and to
/// each other data centre as a whole, so its cost grows with the size of its
/// data centre.
class Membership {
public:
  explicit Membership(MembershipOptions Options);

  /// @return This VM's own record.
  [[nodiscard]] const VmRecord &self() const { return m_Self; }
  /// @return The newest record of every other VM.
  [[nodiscard]] std::vector<VmRecord> others() const;
  /// @return Names of VMs that may own replicas in ascending order. Includes
  /// this VM unless it is leaving.
  [[nodiscard]] std::vector<VmName> liveVms() const;
  /// @return The state of @p Name, or Gone if the VM is unknown.
  [[nodiscard]] VmState stateOf(const VmName &Name) const;
  /// @return The record of @p Name, or nothing.
  [[nodiscard]] std::optional<VmRecord> find(const VmName &Name) const;
  /// @return Whether a later incarnation of this VM exists, so that this
  /// process must stop.
  [[nodiscard]] bool isSuperseded() const { return m_Superseded; }
  /// @return See MajorityTracker::majorityAsOf(), over all VMs that may still
  /// run. A silent VM counts while the VM list contains it, so that the
  /// minority side of a partition never forms a majority of its own.
  [[nodiscard]] std::optional<TimePoint> majorityAsOf(TimePoint Now) const;
  /// @return The time as of which enough other VMs answered this VM directly
  /// for it to have received what is being disseminated. @p Now if there is no
  /// other VM, or none has been heard for a long time.
  [[nodiscard]] std::optional<TimePoint> directAsOf(TimePoint Now) const;
  /// @return Whether no other VM may still run.
  [[nodiscard]] bool isAlone() const { return countOthers() == 0; }
  /// @return Number of times that a VM became Suspect, for a metric.
  [[nodiscard]] std::uint64_t suspicions() const { return m_Suspicions; }

  /// @brief Increments the heartbeat counter and applies the timeouts.
  /// @return VMs to exchange digests with now.
  std::vector<Contact> tick(TimePoint Now);
  /// @brief Fills in the sender and the VMs of a digest.
  /// @param Full Whether to add records and data centres.
  void fill(Digest &Out, bool Full, TimePoint Now);
  /// @brief Merges the digest of a request, which is no evidence of recency.
  void onRequest(const Digest &Heard, TimePoint Now);
  /// @brief Merges the reply to a request that was sent at @p SentAt. Called
  /// again with @p Covers set once the missing configurations were fetched.
  /// @param Covers See ConfigRegistry::covers().
  void onReply(const Digest &Heard, bool Covers, TimePoint SentAt,
               TimePoint Now);
  /// @brief Applies the platform's VM list, which only adds unknown VMs.
  void onVmList(const std::vector<ListedVm> &Listed, TimePoint Now);
  /// @brief Sets whether this VM counts towards a majority; see
  /// Freshness::isInformed().
  void setInformed(bool Informed) { m_Majority.setInformed(Informed); }
  /// @brief Sets this VM's own state to Leaving in all further digests.
  void leave();

private:
  struct VmMonitor {
    ArrivalHistory Arrivals;
    std::optional<TimePoint> SuspectedAt;
    bool AnnouncedLeaving = false;
    std::uint32_t Announcements = 0; ///< Digests still to carry the record.
  };

  void onDigest(const Digest &Heard, TimePoint Now);
  void mergeRecord(const VmRecord &Record, bool Direct, TimePoint Now);
  void updateStates(TimePoint Now);
  void updateState(const VmRecord &Record, VmMonitor &Monitor, TimePoint Now);
  [[nodiscard]] bool isSilent(const VmRecord &Record, const VmMonitor &Monitor,
                              TimePoint Now) const;
  void changeState(const VmName &Name, VmMonitor &Monitor, VmState State);
  [[nodiscard]] std::uint64_t awakeMillis(TimePoint Now) const;
  void discountPause(TimePoint Now);
  [[nodiscard]] bool mayStillRun(const VmRecord &Record) const;
  [[nodiscard]] std::size_t countOthers() const;
  [[nodiscard]] std::vector<VmName> livePeers() const;
  [[nodiscard]] std::vector<VmName>
  representatives(const DataCentre &Centre) const;
  void addPeers(std::vector<Contact> &Contacts);
  void addCentres(std::vector<Contact> &Contacts);
  /// Adds one VM that is on the VM list but considered gone, so that the
  /// membership recovers after a partition.
  void addListed(std::vector<Contact> &Contacts);
  /// Refutes a suspicion of this VM by a heartbeat with a higher counter.
  void refuteSuspicion(const VmRecord &Record);
  [[nodiscard]] std::uint32_t announcements() const;

  MembershipOptions m_Options;
  VmRecord m_Self;
  VmTable m_Table;
  MajorityTracker m_Majority;
  std::map<VmName, VmMonitor> m_Monitors;
  std::optional<TimePoint> m_LastTick;
  std::optional<TimePoint> m_AwakeSince;
  std::vector<ListedVm> m_Listed;
  std::optional<TimePoint> m_ListedAt;
  std::size_t m_ListedCursor = 0;
  VmName m_PeerCursor;
  DataCentre m_CentreCursor;
  std::uint64_t m_Suspicions = 0;
  bool m_Superseded = false;
};

} // namespace carawaypond
