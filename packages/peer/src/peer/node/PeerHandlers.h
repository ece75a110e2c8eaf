#pragma once

#include "coordination/membership/Digest.h"
#include "core/id/Ids.h"
#include "peer/message/PeerIdentity.h"
#include "peer/message/PeerQuery.h"
#include "peer/message/PeerQueryAnswer.h"
#include "peer/message/PeerResult.h"
#include "peer/message/PeerSubrequest.h"
#include "peer/message/StoredObject.h"
#include "peer/node/Reply.h"

#include <functional>
#include <string>
#include <vector>

namespace carawaypond::peer {

/// @brief Sends a result to the coordinator. May be called from any thread;
/// does nothing after the connection has closed.
using ResultSink = std::function<void(PeerResult)>;

/// @brief Handlers for calls from other daemons. OnRun and OnCancel run on the
/// node's traffic thread, the others on its control thread. Handlers must not
/// block. Calls without a handler are refused, except that cancellations are
/// ignored.
struct PeerHandlers {
  using Names = std::vector<std::string>;

  /// Receives a peer's digest and replies with this VM's digest, which must be
  /// created after the peer's arrived.
  std::function<void(const PeerIdentity &, Digest, Reply<Digest>)> OnExchange;
  /// Replies with those of the named objects that this VM holds. An empty list
  /// of names requests all objects.
  std::function<void(Names, Reply<std::vector<StoredObject>>)> OnFetchServices;
  std::function<void(Names, Reply<std::vector<StoredObject>>)> OnFetchIndexes;
  /// Runs the subrequests and passes one result for each to the sink.
  std::function<void(const PeerIdentity &, std::vector<PeerSubrequest>,
                     ResultSink)>
      OnRun;
  /// The coordinator cancelled these subrequests, or its connection closed.
  std::function<void(const PeerIdentity &, const std::vector<SubrequestId> &)>
      OnCancel;
  /// After an error reply the coordinator can't tell whether the query ran.
  std::function<void(const PeerIdentity &, PeerQuery, Reply<PeerQueryAnswer>)>
      OnQuery;
};

} // namespace carawaypond::peer
