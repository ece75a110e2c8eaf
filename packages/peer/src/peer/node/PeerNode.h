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

/// @brief This daemon's end of all calls between daemons. Owns a control
/// thread with Cap'n Proto RPC, and a traffic thread for subrequests. Its
/// methods may be called from any thread and return at once. NotConnected says
/// that no byte of the call was written, ConnectionLost and TimedOut that the
/// peer may have received it.
class PeerNode {
public:
  /// @brief Starts to listen.
  /// @return The node, or why the address can't be listened on.
  [[nodiscard]] static Result<std::unique_ptr<PeerNode>>
  open(PeerOptions Options, PeerHandlers Handlers);

  /// @brief Ends outstanding calls with an error, then joins the threads.
  ~PeerNode();
  PeerNode(const PeerNode &) = delete;
  PeerNode &operator=(const PeerNode &) = delete;

  /// @return "ip:port" on which this node listens.
  [[nodiscard]] const std::string &address() const;
  [[nodiscard]] PeerStats stats() const;

  /// @brief Exchanges digests. A timeout drops the connection: the peer is
  /// silent.
  void exchange(std::string Address, Digest Own, Reply<Digest> OnReply,
                Duration Timeout);
  /// @brief Fetches services; the peer may answer fewer than it was asked for.
  void fetchServices(std::string Address, std::vector<std::string> Names,
                     Reply<std::vector<StoredObject>> OnReply,
                     Duration Timeout);
  void fetchIndexes(std::string Address, std::vector<std::string> Names,
                    Reply<std::vector<StoredObject>> OnReply, Duration Timeout);
  /// @brief Sends subrequests to the owner at @p Address.
  /// @param Expected The owner's incarnation; another one takes nothing.
  void run(std::string Address, Incarnation Expected,
           std::vector<PeerSubrequest> Batch, RunObserver Observer);
  /// @brief Asks the owner to drop subrequests; their results still come.
  void cancel(std::string Address, std::vector<SubrequestId> Ids);
  /// @brief Forwards a query to the VM and incarnation that gave out its
  /// ticket. Unavailable says that it was refused and did not run.
  void query(std::string Address, Incarnation Expected, PeerQuery Query,
             Reply<PeerQueryAnswer> OnReply, Duration Timeout);

private:
  class Impl;

  explicit PeerNode(std::unique_ptr<Impl> Pimpl);

  std::unique_ptr<Impl> m_Impl;
};

} // namespace carawaypond::peer
