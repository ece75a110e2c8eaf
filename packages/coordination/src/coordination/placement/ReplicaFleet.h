#pragma once

#include "coordination/placement/PlacementOptions.h"
#include "coordination/placement/RouteLatency.h"
#include "coordination/placement/ServiceFleet.h"
#include "coordination/placement/SlowAnswer.h"
#include "coordination/refusal/RetryAdvice.h"
#include "coordination/routing/RequestRoute.h"
#include "coordination/routing/RoutingTable.h"

#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace carawaypond {

/// @brief All replicas that this VM knows, shared by its requests.
class ReplicaFleet {
public:
  /// They are sent in a datagram.
  static constexpr std::size_t MaxSlowAnswers = 8;

  explicit ReplicaFleet(PlacementOptions Options)
      : m_Options(std::move(Options)) {}

  [[nodiscard]] const PlacementOptions &options() const { return m_Options; }
  /// @return This VM's share of the budgets that all VMs share.
  [[nodiscard]] double share() const { return m_Share; }
  [[nodiscard]] const std::unordered_map<ServiceName, ServiceFleet> &
  services() const {
    return m_Services;
  }

  /// @return The service; created if it is not known yet.
  ServiceFleet &service(const ServiceName &Name);
  /// @return The latency of @p Of, initially estimated from its objective.
  RouteLatency &latency(const RequestRoute &Of);
  /// @return When refused callers of @p Of may retry.
  RetryAdvice &retryAdvice(const RequestRoute &Of) {
    return m_RetryAdvice[Of.Name];
  }
  /// @brief Replaces the replicas by @p Known.
  /// @return Replicas that were known before and are not any more.
  std::vector<ServerName> replace(const std::vector<ReplicaRecord> &Known,
                                  TimePoint Now);
  /// @brief Takes in what @p Replica says about itself in an answer.
  /// @return Whether that changes when it may get requests.
  bool onNotice(const ServerName &Replica, const ReplicaNotice &Told,
                TimePoint Now);
  /// @return This VM's slow answers of the last @p Within, the newest first, at
  /// most MaxSlowAnswers of them.
  [[nodiscard]] std::vector<SlowAnswer> slowAnswers(Duration Within,
                                                    TimePoint Now) const;
  /// @return The number of replicas that several VMs report to be slow.
  [[nodiscard]] std::size_t reportedSlow(TimePoint Now) const;
  /// @brief Takes in the slow answers that another VM reports.
  void onSlowAnswers(const VmName &From, const std::vector<SlowAnswer> &Told,
                     TimePoint Now);
  /// @brief Sets this VM's share of what all VMs may send, and its turn.
  void setShare(double Share, VmTurn Turn, TimePoint Now);
  /// @brief Sets the limits of the services, which hold for the replicas of the
  /// next replace().
  void setTable(std::shared_ptr<const RoutingTable> Table) {
    m_Table = std::move(Table);
  }
  /// @brief Replaces the evacuated data centres by @p Centres. Their replicas
  /// get nothing more.
  void setEvacuated(std::set<DataCentre> Centres, TimePoint Now);

private:
  /// @brief What a replica had said when its record was removed. Records are
  /// also removed and put back around an outage of the store.
  struct Removed {
    std::int64_t StartedAt = 0;
    ReplicaNotices Said;
    TimePoint RemovedAt;
  };

  void remove(const ServerName &Id, TimePoint Now);
  void put(const ReplicaRecord &Record, TimePoint Now);
  void limitWarmup(ReplicaTracker &Gauge, TimePoint Now);
  /// @param Ratio Part of the limit that all VMs together may use.
  [[nodiscard]] LimitShare limitShare(double Ratio = 1) const;

  PlacementOptions m_Options;
  double m_Share = 1;
  VmTurn m_Turn;
  std::shared_ptr<const RoutingTable> m_Table; ///< Null until one is known.
  std::set<DataCentre> m_Evacuated;
  std::unordered_map<ServiceName, ServiceFleet> m_Services;
  std::unordered_map<ServerName, ServiceName> m_ServiceOf;
  std::unordered_map<ServerName, Removed> m_Removed;
  std::unordered_map<std::string, RouteLatency> m_Latencies;
  std::unordered_map<std::string, RetryAdvice> m_RetryAdvice;
};

} // namespace carawaypond
