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

/// @brief Performs what the queues of this VM's replica sets decide, and
/// reports to them what became of it.
class OwnerRunner {
public:
  /// Takes a subrequest's outcome, once.
  using Completion = std::function<void(SubOutcome)>;

  OwnerRunner(TrafficContext &Context, ServiceTable &Services,
              BackendFleet &Fleet);

  /// @return The longest wait that a subrequest for any of the service's
  /// queues here would have; a few milliseconds old at most.
  [[nodiscard]] Duration expectedWait(const ServiceName &Service,
                                      const ClassName &Class, TimePoint Now);

  /// @brief Queues a subrequest, whose id must be new.
  void enqueue(Subrequest Request, Completion Done);
  /// @brief The coordinator no longer wants the answer.
  void cancel(SubrequestId Id);
  /// @brief This VM's part of a server's slots has changed. Call setState()
  /// afterwards.
  void setSlots(const ServerName &Server, std::uint32_t Slots);
  /// @brief A server may or may no longer get work.
  void setState(const ServerName &Server, ServerState State);
  /// @brief Follows the table of services, and drops the queues of services
  /// and layouts that are gone.
  void followServices();
  /// @brief Tells the metrics what the queues have counted.
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
  void arm();
  void complete(SubrequestId Id, SubOutcome Outcome);
  boost::asio::awaitable<void> run(SendAttempt Send);
  void finishAttempt(const SendAttempt &Send,
                     const backend::SearchOutcome &Outcome);
  [[nodiscard]] std::string wireId(AttemptId Attempt) const;

  TrafficContext &m_Context;
  ServiceTable &m_Services;
  BackendFleet &m_Fleet;
  /// The services that the queues refer to, which outlive the queues.
  std::map<ServiceName, ServedService> m_Served;
  OwnerQueues m_Queues;
  boost::asio::steady_timer m_Timer;
  std::optional<TimePoint> m_WakeAt;
  std::unordered_map<SubrequestId, Completion> m_Pending;
};

} // namespace carawaypond::daemon
