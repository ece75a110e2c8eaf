#pragma once

#include "coordination/membership/ArrivalHistory.h"
#include "coordination/membership/CentreTally.h"
#include "coordination/membership/Contact.h"
#include "coordination/membership/Digest.h"
#include "coordination/membership/ListedVm.h"
#include "coordination/membership/MembershipOptions.h"
#include "coordination/membership/VmTable.h"
#include "core/time/Time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace carawaypond {

/// @brief Who is alive. VMs of one data centre hear each other directly; a few
/// representatives exchange digests between data centres. A VM judges silence
/// only within its own data centre and of whole other data centres, so its
/// cost grows with the size of its data centre.
class Membership {
public:
  explicit Membership(MembershipOptions Options);

  /// @return This VM's own record.
  [[nodiscard]] const VmRecord &self() const { return m_Self; }
  /// @return The newest record of every other VM.
  [[nodiscard]] std::vector<VmRecord> others() const;
  /// @return Names of VMs that may own replicas, this one included unless it
  /// is leaving; ascending.
  [[nodiscard]] std::vector<VmName> liveVms() const;
  /// @return The state of @p Name, Gone when it is unknown.
  [[nodiscard]] VmState stateOf(const VmName &Name) const;
  /// @return The record of @p Name, or nothing.
  [[nodiscard]] std::optional<VmRecord> find(const VmName &Name) const;
  /// @return Whether a later incarnation of this VM was heard; this one must
  /// stop.
  [[nodiscard]] bool isSuperseded() const { return m_Superseded; }
  /// @return See CentreTally::majorityAsOf(), over all VMs that may still run.
  /// A silent VM counts for as long as the VM list names it, so that the
  /// smaller part of a partitioned fleet never takes itself for the whole.
  [[nodiscard]] std::optional<TimePoint> majorityAsOf(TimePoint Now) const;
  /// @return The time as of which a few other VMs answered this one, enough
  /// to know what spreads; @p Now when there is none, or none was heard for
  /// long.
  [[nodiscard]] std::optional<TimePoint> directAsOf(TimePoint Now) const;
  /// @return Whether no other VM may still run.
  [[nodiscard]] bool isAlone() const { return countOthers() == 0; }
  /// @return Changes of state so far, for a counter.
  [[nodiscard]] std::uint64_t suspicions() const { return m_Suspicions; }

  /// @brief Advances the heartbeat and judges silence.
  /// @return Whom to exchange digests with now.
  std::vector<Contact> tick(TimePoint Now);
  /// @brief Fills in the sender and the VMs of a digest.
  /// @param Full Whether to add records and data centres.
  void fill(Digest &Out, bool Full, TimePoint Now);
  /// @brief Takes a request's digest, which proves no recency.
  void onRequest(const Digest &Heard, TimePoint Now);
  /// @brief Takes the reply to a request that was sent at @p SentAt; again
  /// with @p Covers once what it showed to be lacking was fetched.
  /// @param Covers See ConfigBook::covers().
  void onReply(const Digest &Heard, bool Covers, TimePoint SentAt,
               TimePoint Now);
  /// @brief Takes the VM list; it only adds VMs that were never heard of.
  void onVmList(const std::vector<ListedVm> &Listed, TimePoint Now);
  /// @brief Tells whether this VM ever might serve in this life.
  void setInformed(bool Informed) { m_Tally.setInformed(Informed); }
  /// @brief From now on this VM says that it is leaving.
  void leave();

private:
  struct Watch {
    ArrivalHistory Arrivals;
    std::optional<TimePoint> SuspectedAt;
    bool SaidLeaving = false;
    std::uint32_t Announcements = 0; ///< Digests that still carry the record.
  };

  void onDigest(const Digest &Heard, TimePoint Now);
  void take(const VmRecord &Record, bool Direct, TimePoint Now);
  void judge(TimePoint Now);
  void judgeOne(const VmRecord &Record, Watch &Watched, TimePoint Now);
  [[nodiscard]] bool isSilent(const VmRecord &Record, const Watch &Watched,
                              TimePoint Now) const;
  void conclude(const VmName &Name, Watch &Watched, VmState State);
  [[nodiscard]] std::uint64_t awakeMillis(TimePoint Now) const;
  void skipPause(TimePoint Now);
  [[nodiscard]] bool mayStillRun(const VmRecord &Record) const;
  [[nodiscard]] std::size_t countOthers() const;
  [[nodiscard]] std::vector<VmName> livePeers() const;
  [[nodiscard]] std::vector<VmName>
  representatives(const DataCentre &Centre) const;
  void addPeers(std::vector<Contact> &Contacts);
  void addCentres(std::vector<Contact> &Contacts);
  /// Tries one VM that is listed but held to be gone: partitions heal.
  void addListed(std::vector<Contact> &Contacts);
  /// Answers a suspicion of this VM by a heartbeat beyond it.
  void onRumour(const VmRecord &Record);
  [[nodiscard]] std::uint32_t announcements() const;

  MembershipOptions m_Options;
  VmRecord m_Self;
  VmTable m_Table;
  CentreTally m_Tally;
  std::map<VmName, Watch> m_Watches;
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
