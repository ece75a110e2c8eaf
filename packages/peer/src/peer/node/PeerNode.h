#pragma once

#include "coordination/membership/Digest.h"
#include "core/id/Ids.h"
#include "core/outcome/Result.h"
#include "core/time/Time.h"
#include "peer/message/PeerQuery.h"
#include "peer/message/PeerQueryAnswer.h"
#include "peer/message/PeerSubrequest.h"
#include "peer/message/StoredObject.h"
#include "peer/node/PeerHandlers.h"
#include "peer/node/PeerOptions.h"
#include "peer/node/PeerStats.h"
#include "peer/node/Reply.h"
#include "peer/node/RunObserver.h"

#include <memory>
#include <string>
#include <vector>

namespace carawaypond::peer {

/// @brief Client and server for calls between daemons. Owns a control thread
/// for Cap'n Proto RPC and a traffic thread for subrequests. Methods may be
/// called from any thread and do not block. The error NotConnected means that
/// no byte of the call was written; ConnectionLost and TimedOut mean that the
/// peer may have received it.
class PeerNode {
public:
  /// @brief Starts to listen.
  /// @return The node, or an error if it can't listen on the address.
  [[nodiscard]] static Result<std::unique_ptr<PeerNode>>
  open(PeerOptions Options, PeerHandlers Handlers);

  /// @brief Fails outstanding calls with an error, then joins the threads.
  ~PeerNode();
  PeerNode(const PeerNode &) = delete;
  PeerNode &operator=(const PeerNode &) = delete;

  /// @return "ip:port" on which this node listens.
  [[nodiscard]] const std::string &address() const;
  [[nodiscard]] PeerStats stats() const;

  /// @brief Exchanges digests. A timeout means that the peer is unresponsive,
  /// so its control and traffic connections are closed.
  void exchange(std::string Address, Digest Own, Reply<Digest> OnReply,
                Duration Timeout);
  /// @brief Fetches services. The peer may return fewer than requested.
  void fetchServices(std::string Address, std::vector<std::string> Names,
                     Reply<std::vector<StoredObject>> OnReply,
                     Duration Timeout);
  void fetchIndexes(std::string Address, std::vector<std::string> Names,
                    Reply<std::vector<StoredObject>> OnReply, Duration Timeout);
  /// @brief Sends subrequests to the owner at @p Address.
  /// @param Expected The owner's incarnation. Any other incarnation refuses the
  /// batch.
  void run(std::string Address, Incarnation Expected,
           std::vector<PeerSubrequest> Batch, RunObserver Observer);
  /// @brief Asks the owner to cancel subrequests. Each still ends in a result
  /// or a loss, reported to its observer.
  void cancel(std::string Address, std::vector<SubrequestId> Ids);
  /// @brief Forwards a query to the VM and incarnation that issued its ticket.
  /// Unavailable means that the query was refused and did not run.
  void query(std::string Address, Incarnation Expected, PeerQuery Query,
             Reply<PeerQueryAnswer> OnReply, Duration Timeout);

private:
  class Impl;

  explicit PeerNode(std::unique_ptr<Impl> Pimpl);

  std::unique_ptr<Impl> m_Impl;
};

} // namespace carawaypond::peer
