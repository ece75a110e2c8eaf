#pragma once

#include "core/time/Time.h"
#include "peer/link/PeerLink.h"
#include "peer/loop/LoopContext.h"

#include <kj/async.h>

#include <map>
#include <memory>
#include <string>

namespace carawaypond::peer {

/// @brief The links by address; those that hold nothing are let go.
class LinkTable {
public:
  LinkTable(LoopContext &Context, PeerLink::OnSilent Silent);

  /// @return The link to @p Address, made when there is none.
  [[nodiscard]] PeerLink &to(const std::string &Address);

  void sweep(TimePoint Now);
  /// @brief Ends all calls. @return Settles when every reply was made.
  [[nodiscard]] kj::Promise<void> close();

private:
  LoopContext &m_Context;
  PeerLink::OnSilent m_Silent;
  std::map<std::string, std::unique_ptr<PeerLink>> m_Links;
};

} // namespace carawaypond::peer
