#pragma once

#include "coordination/subrequest/SubOutcome.h"
#include "coordination/subrequest/Subrequest.h"
#include "daemon/traffic/OwnerRunner.h"
#include "daemon/traffic/ServiceTable.h"
#include "daemon/traffic/TrafficContext.h"
#include "peer/message/PeerIdentity.h"
#include "peer/message/PeerSubrequest.h"
#include "peer/node/PeerHandlers.h"

#include <functional>
#include <map>
#include <utility>
#include <vector>

namespace carawaypond::peer {
class PeerNode;
} // namespace carawaypond::peer

namespace carawaypond::daemon {

/// @brief Callbacks for the outcomes of subrequests sent to another VM. Called
/// on the traffic thread.
struct RemoteObserver {
  std::function<void(SubrequestId, SubOutcome)> OnOutcome;
  /// Called when the owner was lost. The second argument is false if no byte
  /// was sent.
  std::function<void(SubrequestId, bool)> OnLost;
};

/// @brief Exchanges subrequests with other VMs: sends them to the VMs that own
/// the replicas, and runs those received from other VMs.
class RemoteOwners {
public:
  /// @brief Describes a subrequest sent to another VM.
  struct SentSubrequest {
    ServiceName Service;
    ClassName Class;
    ShardId Shard;
  };

  RemoteOwners(TrafficContext &Context, ServiceTable &Services,
               OwnerRunner &Owned);

  /// @return The number of unfinished subrequests received from other VMs.
  [[nodiscard]] std::size_t inFlight() const { return m_Incoming.size(); }

  /// @brief Sets the node used for calls to other VMs.
  void attach(peer::PeerNode &Node) { m_Node = &Node; }

  /// @brief Sends a batch to the VM that owns its replicas.
  void run(const ControlView &View, const VmName &Owner,
           const std::vector<Subrequest> &Batch, RemoteObserver Observer);
  /// @brief Tells the owner that an answer is no longer needed.
  void cancel(const ControlView &View, const VmName &Owner, SubrequestId Id);

  /// @brief Runs a batch received from another VM. Must be called on the
  /// traffic thread.
  void serve(const peer::PeerIdentity &From,
             const std::vector<peer::PeerSubrequest> &Batch,
             const peer::ResultSink &Sink);
  /// @brief Cancels subrequests received from another VM. Must be called on the
  /// traffic thread.
  void serveCancel(const peer::PeerIdentity &From,
                   const std::vector<SubrequestId> &Ids);

private:
  using IncomingKey = std::pair<peer::PeerIdentity, SubrequestId>;
  struct IncomingLess {
    bool operator()(const IncomingKey &Left, const IncomingKey &Right) const;
  };

  void serveOne(const peer::PeerIdentity &From,
                const peer::PeerSubrequest &Request,
                const peer::ResultSink &Sink);
  void recordOwnerReport(const SentSubrequest &Asked, TimePoint SentAt,
                         const peer::PeerResult &Result);
  void recordServedVersions(const ServiceName &Service, ShardId Shard,
                            const peer::PeerResult &Result);
  /// @brief Adds the version range of the shard's most up-to-date replica to a
  /// result for the coordinator.
  void addNewestRange(const Subrequest &Request,
                      peer::PeerResult &Result) const;

  TrafficContext &m_Context;
  ServiceTable &m_Services;
  OwnerRunner &m_Owned;
  peer::PeerNode *m_Node = nullptr;
  /// Unfinished subrequests received from other VMs: maps the sender and its id
  /// to the id used on this VM.
  std::map<IncomingKey, SubrequestId, IncomingLess> m_Incoming;
};

} // namespace carawaypond::daemon
