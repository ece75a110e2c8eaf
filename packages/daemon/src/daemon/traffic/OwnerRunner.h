#pragma once

#include "coordination/queue/QueueActions.h"
#include "coordination/subrequest/SubOutcome.h"
#include "coordination/subrequest/Subrequest.h"
#include "daemon/traffic/BackendFleet.h"
#include "daemon/traffic/OwnedQueue.h"
#include "daemon/traffic/ServiceTable.h"
#include "daemon/traffic/TrafficContext.h"

#include <functional>
#include <map>
#include <memory>
#include <unordered_map>

namespace carawaypond::daemon {

/// @brief Runs the queues of the replica sets that this VM sends to: performs
/// what they decide, and reports what became of it.
class OwnerRunner {
public:
  /// Takes a subrequest's outcome, once.
  using Completion = std::function<void(SubOutcome)>;

  OwnerRunner(TrafficContext &Context, ServiceTable &Services,
              BackendFleet &Fleet);

  /// @return The longest wait that a subrequest for any of the service's
  /// queues here would have.
  [[nodiscard]] Duration expectedWait(const ServiceName &Service,
                                      const ClassName &Class,
                                      TimePoint Now) const;
  /// @return The layouts' queues that exist now, for the operators' page.
  [[nodiscard]] std::size_t queueCount() const { return m_Queues.size(); }

  /// @brief Queues a subrequest, whose id must be new.
  void enqueue(Subrequest Request, Completion Done);
  /// @brief The coordinator no longer wants the answer.
  void cancel(SubrequestId Id);
  /// @brief A server may or may no longer get work.
  void onServerChanged(const ServerName &Server);
  /// @brief Drops queues of services and layouts that are gone.
  void dropUnused();

private:
  using QueuePointer = std::shared_ptr<OwnedQueue>;
  struct ActionVisitor;
  struct OutcomeVisitor;
  struct Pending {
    Completion Done;
    std::weak_ptr<OwnedQueue> Queue;
  };

  [[nodiscard]] QueuePointer queueFor(const Subrequest &Request);
  QueuePointer makeQueue(const QueueKey &Key,
                         std::shared_ptr<ServiceRuntime> Service,
                         std::vector<ServerName> Replicas);
  void perform(const QueuePointer &Queue, QueueActions Actions);
  void arm(const QueuePointer &Queue);
  void tickSharing(const ServerName &Server, const OwnedQueue *Except);
  void complete(SubrequestId Id, SubOutcome Outcome);
  boost::asio::awaitable<void> run(QueuePointer Queue, SendAttempt Send);
  void finishAttempt(const QueuePointer &Queue, const SendAttempt &Send,
                     const backend::SearchOutcome &Outcome);
  void countNew(OwnedQueue &Queue);
  [[nodiscard]] std::string wireId(AttemptId Attempt) const;

  TrafficContext &m_Context;
  ServiceTable &m_Services;
  BackendFleet &m_Fleet;
  SerialIds<AttemptId> m_Attempts;
  std::map<QueueKey, QueuePointer> m_Queues;
  std::multimap<ServerName, std::weak_ptr<OwnedQueue>> m_ByServer;
  std::unordered_map<SubrequestId, Pending> m_Pending;
};

} // namespace carawaypond::daemon
