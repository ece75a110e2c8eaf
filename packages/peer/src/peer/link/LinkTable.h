#pragma once

#include "core/time/Time.h"
#include "peer/link/PeerLink.h"
#include "peer/loop/LoopContext.h"

#include <kj/async.h>

#include <map>
#include <memory>
#include <string>

namespace carawaypond::peer {

/// @brief Outgoing RPC links by peer address. sweep() removes idle links.
class LinkTable {
public:
  LinkTable(LoopContext &Context, PeerLink::UnresponsiveHandler OnUnresponsive);

  /// @return The link to @p Address; created if there is none.
  [[nodiscard]] PeerLink &linkTo(const std::string &Address);

  void sweep(TimePoint Now);
  /// @brief Fails all calls. @return Resolves when every reply was delivered.
  [[nodiscard]] kj::Promise<void> close();

private:
  LoopContext &m_Context;
  PeerLink::UnresponsiveHandler m_OnUnresponsive;
  std::map<std::string, std::unique_ptr<PeerLink>> m_Links;
};

} // namespace carawaypond::peer
