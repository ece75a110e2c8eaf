#pragma once

#include "adapter/CallerRequest.h"
#include "coordination/placement/ReplicaFleet.h"
#include "coordination/quarantine/RequestQuarantine.h"
#include "coordination/refusal/RetryAdvice.h"
#include "coordination/revocation/ConfigProof.h"
#include "coordination/routing/WeightedPicker.h"
#include "coordination/run/RequestRun.h"
#include "coordination/workspaces/Access.h"
#include "core/outcome/Result.h"
#include "gateway/log/EventLog.h"
#include "gateway/metrics/LatencyMetrics.h"
#include "gateway/overload/AdmissionGate.h"
#include "gateway/quota/QuotaGate.h"
#include "gateway/traffic/CallerTimeoutTracker.h"
#include "gateway/traffic/LivenessChecker.h"
#include "gateway/traffic/ReplicaLinks.h"
#include "gateway/traffic/TrafficCounters.h"
#include "gateway/traffic/TrafficOptions.h"
#include "gateway/traffic/TrafficView.h"
#include "gateway/traffic/VerdictLog.h"
#include "gateway/traffic/fwd.h"
#include "http/Listener.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string>
#include <unordered_set>
#include <utility>
#include <vector>

namespace carawaypond::gateway {

/// @brief Accepts callers' requests and answers them through the replicas. Used
/// by the traffic thread only.
class CallerService {
public:
  using OnQuarantine =
      std::function<void(std::vector<QuarantineReport>, bool IsUrgent)>;

  /// @param QuotaReport See QuotaGate.
  CallerService(boost::asio::io_context &Context, TrafficOptions Options,
                TrafficCounters &Counters, LatencyMetrics &Latencies,
                EventLog &Log, QuotaGate::OnReport QuotaReport);

  /// @brief Starts to listen.
  Result<void> start();
  /// @return "ip:port" with the port that was bound; start() must have
  /// succeeded.
  [[nodiscard]] std::string address() const { return m_Listener->address(); }

  /// @brief Applies a view that the control thread published.
  void follow(std::shared_ptr<const TrafficView> View);
  /// @brief Records as of when the configuration of the last view was proved
  /// to be the newest one.
  void proveConfig(BootTime AsOf) { m_Proof.prove(AsOf); }
  /// @brief Asks @p Allocator for tokens of quotas from now on.
  void followAllocator(std::optional<AllocatorRecord> Allocator) {
    m_Quota.setAllocator(std::move(Allocator));
  }
  /// @brief Records whether another VM sees a high demand.
  void setFleetDemandHigh(bool IsHigh) {
    m_Admission.setFleetDemandHigh(IsHigh);
  }
  /// @return This VM's recent slow answers, to be reported to other VMs.
  [[nodiscard]] std::vector<SlowAnswer> slowAnswers() const;
  /// @brief Takes in the slow answers that another VM reports.
  void onSlowAnswers(const VmName &From, const std::vector<SlowAnswer> &Told);
  /// @brief Takes in what another VM knows of requests that end replicas.
  void onQuarantineReports(const std::vector<QuarantineReport> &Told);
  /// @param Changed Called with what other VMs should know, at intervals and
  /// when a replica has ended. If it is not urgent, the next heartbeat is soon
  /// enough.
  void onQuarantineChanged(OnQuarantine Changed) {
    m_OnQuarantine = std::move(Changed);
  }
  /// @brief Starts draining: answers announce the close of their connection.
  void beginLeaving();
  /// @brief Stops accepting connections and closes the idle ones.
  void closeIdle();
  /// @brief From now on refuses requests whose callers would wait beyond
  /// @p Time.
  void refuseBeyond(TimePoint Time) { m_RefusesBeyond = Time; }
  /// @brief Answers all requests at once, as this VM exits.
  void answerAll();
  /// @return The number of open caller connections; each request in flight
  /// holds one.
  [[nodiscard]] std::size_t busy() const;

private:
  /// How long a slow answer is reported. A little longer than the interval of
  /// heartbeats, so that each is reported once at least.
  static constexpr Milliseconds SlowAnswerLifetime{900};

  boost::asio::awaitable<http::Response> handle(http::Request Asked);
  /// @brief Waits for a token if the caller's workspace has a limit.
  /// @param Caller Null if the request needs no key.
  boost::asio::awaitable<QuotaAdmission>
  spendQuota(const adapter::CallerRequest &Asked, const RequestRoute &Chosen,
             const Workspace *Caller);
  /// @return Whether the caller might wait until after this VM has exited.
  [[nodiscard]] bool isTooLate(const adapter::CallerRequest &Asked,
                               const RunPlan &Plan) const;
  /// @brief Returns the token of a request that does not run.
  void returnToken(const QuotaAdmission &Quota);
  /// @brief Runs the request once it is admitted, or refuses it.
  boost::asio::awaitable<http::Response>
  admit(adapter::CallerRequest Asked, RunPlan Plan, QuotaAdmission Quota);
  /// @param Admitted Nothing if admission control is not in use.
  boost::asio::awaitable<http::Response>
  run(adapter::CallerRequest Asked, RunPlan Plan,
      std::optional<AdmittedRequest> Admitted);
  /// @return The answer to a request that must not run for want of a key.
  std::optional<http::Response> deny(const adapter::CallerRequest &Asked,
                                     const Access &Given);
  /// @param Table The version that holds @p Chosen. The plan keeps it: the view
  /// may have changed while the request waited for a token.
  [[nodiscard]] RunPlan plan(std::shared_ptr<const RoutingTable> Table,
                             const RequestRoute &Chosen,
                             const adapter::CallerRequest &Asked);
  /// @return The answer to a request for which there is no token.
  http::Response refuseQuota(const adapter::CallerRequest &Asked,
                             const Workspace &Caller, QuotaResult Why);
  /// @return The answer to a request that no route takes.
  http::Response refuseUnknownRoute();
  http::Response refuse(const adapter::CallerRequest &Asked, RefusalReason Why);
  /// @return The answer to a request that was not admitted under overload.
  http::Response refuseOverload(const adapter::CallerRequest &Asked,
                                const RunPlan &Plan);
  /// @param Advice Says when the caller may retry.
  http::Response refuse(const adapter::CallerRequest &Asked, RefusalReason Why,
                        RetryAdvice &Advice, Milliseconds Patience);
  void applyLimits();
  /// @return Whether replicas end when they run such a request.
  [[nodiscard]] bool isQuarantined(const adapter::CallerRequest &Asked) const;
  /// @brief Has other VMs told that a replica ended under a request.
  void onReplicaEnded(bool BeginsQuarantine);
  /// @brief Tells the control thread of the requests that end replicas.
  void publishQuarantine(bool IsUrgent);
  void sweep();
  /// @brief Counts and logs callers whose requests cost too much work.
  void noteOverWork(TimePoint Now);
  /// @brief Logs how late the sweep timer ran, if that is notable: requests
  /// that arrived meanwhile waited as long before they were read.
  void recordDelay(Duration Late);

  boost::asio::io_context &m_Context;
  TrafficOptions m_Options;
  TrafficCounters &m_Counters;
  LatencyMetrics &m_Latencies;
  EventLog &m_Log;
  VerdictLog m_Verdicts;
  ReplicaFleet m_Fleet;
  ReplicaLinks m_Links;
  WeightedPicker m_Picker;
  CallerTimeoutTracker m_CallerTimeouts;
  RetryAdvice m_RetryAdvice; ///< For requests refused before they have a route.
  ConfigProof m_Proof;
  QuotaGate m_Quota;
  AdmissionGate m_Admission;
  RequestQuarantine m_Quarantine;
  LivenessChecker m_Liveness;
  OnQuarantine m_OnQuarantine;
  bool m_HasQuarantineReports = false; ///< In the last call of m_OnQuarantine.
  std::shared_ptr<const TrafficView> m_View;
  std::unique_ptr<http::Listener> m_Listener;
  std::unordered_set<std::shared_ptr<ActiveRequest>> m_Active;
  boost::asio::steady_timer m_SweepTimer;
  boost::asio::steady_timer m_ReportTimer;
  bool m_IsReportDue = false; ///< m_ReportTimer is running.
  std::uint64_t m_NextAttempt = 1;
  std::uint64_t m_OverWorkLogged = 0; ///< ListenerStats::OverWork when logged.
  TimePoint m_OverWorkLogAt;          ///< Earliest time of the next log line.
  TimePoint m_RefusesBeyond = TimePoint::max();
  bool m_HasStopped = false;
};

} // namespace carawaypond::gateway
