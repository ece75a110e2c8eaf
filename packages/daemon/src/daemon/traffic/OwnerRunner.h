#pragma once

#include "backend/search/SearchOutcome.h"
#include "coordination/queue/OwnerQueues.h"
#include "coordination/subrequest/SubOutcome.h"
#include "coordination/subrequest/Subrequest.h"
#include "daemon/traffic/BackendFleet.h"
#include "daemon/traffic/ServiceTable.h"
#include "daemon/traffic/TrafficContext.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>

namespace carawaypond::daemon {

/// @brief Executes the actions of the queues of this VM's replica sets, and
/// reports the outcomes back to the queues.
class OwnerRunner {
public:
  /// Called exactly once with a subrequest's outcome.
  using Completion = std::function<void(SubOutcome)>;

  OwnerRunner(TrafficContext &Context, ServiceTable &Services,
              BackendFleet &Fleet);

  /// @return The longest expected wait of a new subrequest in any of the
  /// service's queues on this VM. Cached for a few milliseconds.
  [[nodiscard]] Duration expectedWait(const ServiceName &Service,
                                      const ClassName &Class, TimePoint Now);

  /// @brief Queues a subrequest. Its id must not have been used before.
  void enqueue(Subrequest Request, Completion Done);
  /// @brief Cancels a subrequest whose answer the coordinator no longer needs.
  void cancel(SubrequestId Id);
  /// @brief Sets this VM's share of a server's slots. Call setState()
  /// afterwards.
  void setSlots(const ServerName &Server, std::uint32_t Slots);
  /// @brief Sets whether a server may be sent subrequests.
  void setState(const ServerName &Server, ServerState State);
  /// @brief Applies changes of the service table, and drops the queues of
  /// removed services and layouts.
  void applyServices();
  /// @brief Copies the counters of the queues to the metrics.
  void countAll();

private:
  using ServicePointer = std::shared_ptr<ServiceRuntime>;
  struct ActionVisitor;
  struct OutcomeVisitor;

  struct WaitSample {
    TimePoint At{};
    Duration Wait{};
  };

  struct ServedService {
    ServicePointer Runtime;
    std::map<ClassName, WaitSample> Waits;
  };

  void perform(QueueActions Actions);
  void armTimer();
  void complete(SubrequestId Id, SubOutcome Outcome);
  boost::asio::awaitable<void> run(SendAttempt Send);
  void finishAttempt(const SendAttempt &Send,
                     const backend::SearchOutcome &Outcome);
  [[nodiscard]] std::string wireId(AttemptId Attempt) const;

  TrafficContext &m_Context;
  ServiceTable &m_Services;
  BackendFleet &m_Fleet;
  /// The services that the queues refer to. Declared before the queues, so that
  /// it outlives them.
  std::map<ServiceName, ServedService> m_Served;
  OwnerQueues m_Queues;
  boost::asio::steady_timer m_Timer;
  std::optional<TimePoint> m_WakeAt;
  std::unordered_map<SubrequestId, Completion> m_Pending;
};

} // namespace carawaypond::daemon
