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

/// @brief Sends a result to the coordinator; may be called from any thread, and
/// does nothing once the connection is gone.
using ResultSink = std::function<void(PeerResult)>;

/// @brief How the daemon serves other daemons' calls. OnRun and OnCancel run on
/// the node's traffic thread, the others on its control thread; none may block;
/// one that is left empty refuses its calls.
struct PeerHandlers {
  using Names = std::vector<std::string>;

  /// Takes a peer's digest and answers with this VM's, made after it came.
  std::function<void(const PeerIdentity &, Digest, Reply<Digest>)> OnExchange;
  /// Answers the named objects that it knows; no names ask for all.
  std::function<void(Names, Reply<std::vector<StoredObject>>)> OnFetchServices;
  std::function<void(Names, Reply<std::vector<StoredObject>>)> OnFetchIndexes;
  /// Takes over the subrequests and gives the sink one result for each.
  std::function<void(const PeerIdentity &, std::vector<PeerSubrequest>,
                     ResultSink)>
      OnRun;
  /// The coordinator no longer wants these, or its connection is gone.
  std::function<void(const PeerIdentity &, const std::vector<SubrequestId> &)>
      OnCancel;
  /// An error in place of an answer leaves the query in doubt.
  std::function<void(const PeerIdentity &, PeerQuery, Reply<PeerQueryAnswer>)>
      OnQuery;
};

} // namespace carawaypond::peer
