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

/// @brief Hears what became of subrequests at another VM, on the traffic
/// thread.
struct RemoteObserver {
  std::function<void(SubrequestId, SubOutcome)> OnOutcome;
  /// The second argument is false when no byte left this VM.
  std::function<void(SubrequestId, bool)> OnLost;
};

/// @brief Subrequests to and from the other VMs: hands them to their owners,
/// and takes over those that others hand to this VM.
class RemoteOwners {
public:
  /// @brief What a subrequest at another VM is for.
  struct SentPart {
    ServiceName Service;
    ClassName Class;
    ShardId Shard;
  };

  RemoteOwners(TrafficContext &Context, ServiceTable &Services,
               OwnerRunner &Owned);

  /// @return Other VMs' subrequests under way here.
  [[nodiscard]] std::size_t inFlight() const { return m_Foreign.size(); }

  /// @brief Uses @p Node for calls from now on.
  void attach(peer::PeerNode &Node) { m_Node = &Node; }

  /// @brief Sends a batch to the VM that owns its replicas.
  void run(const ControlView &View, const VmName &Owner,
           const std::vector<Subrequest> &Batch, RemoteObserver Observer);
  /// @brief Tells the owner that an answer is no longer wanted.
  void cancel(const ControlView &View, const VmName &Owner, SubrequestId Id);

  /// @brief Takes over a batch from another VM. Call it on the traffic thread.
  void serve(const peer::PeerIdentity &From,
             const std::vector<peer::PeerSubrequest> &Batch,
             const peer::ResultSink &Sink);
  /// @brief Another VM no longer wants these. Call it on the traffic thread.
  void serveCancel(const peer::PeerIdentity &From,
                   const std::vector<SubrequestId> &Ids);

private:
  using ForeignKey = std::pair<peer::PeerIdentity, SubrequestId>;
  struct ForeignLess {
    bool operator()(const ForeignKey &Left, const ForeignKey &Right) const;
  };

  void serveOne(const peer::PeerIdentity &From,
                const peer::PeerSubrequest &Request,
                const peer::ResultSink &Sink);
  void noteReport(const SentPart &Asked, TimePoint SentAt,
                  const peer::PeerResult &Result);
  void noteServed(const ServiceName &Service, ShardId Shard,
                  const peer::PeerResult &Result);
  /// @brief Tells the coordinator which versions the shard's most advanced
  /// replica serves.
  void addNewestRange(const Subrequest &Request,
                      peer::PeerResult &Result) const;

  TrafficContext &m_Context;
  ServiceTable &m_Services;
  OwnerRunner &m_Owned;
  peer::PeerNode *m_Node = nullptr;
  /// Other VMs' ids for subrequests under way here, with the ids used here.
  std::map<ForeignKey, SubrequestId, ForeignLess> m_Foreign;
};

} // namespace carawaypond::daemon
