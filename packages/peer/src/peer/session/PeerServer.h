#pragma once

#include "core/id/Ids.h"
#include "core/outcome/Result.h"
#include "peer/loop/LoopContext.h"
#include "peer/message/PeerIdentity.h"
#include "peer/schema/Peer.capnp.h"
#include "peer/session/PeerSession.h"

#include <kj/async.h>

#include <cstddef>
#include <cstdint>

namespace carawaypond::peer {

class SessionTable;

/// @brief Cap'n Proto server of one session; passes calls to the daemon's
/// handlers.
class PeerServer final : public wire::Peer::Server {
public:
  PeerServer(LoopContext &Context, SessionTable &Table, PeerSession &Session);

  kj::Promise<void> hello(HelloContext Context) override;
  kj::Promise<void> exchange(ExchangeContext Context) override;
  kj::Promise<void> fetchServices(FetchServicesContext Context) override;
  kj::Promise<void> fetchIndexes(FetchIndexesContext Context) override;
  kj::Promise<void> query(QueryContext Context) override;

private:
  /// Scope guard that counts a call as open.
  class OpenCall;

  void requireHello() const;
  [[nodiscard]] const PeerIdentity &caller() const;
  [[nodiscard]] Result<void> checkExpected(std::uint64_t Expected);
  [[nodiscard]] kj::Promise<void> startQuery(QueryContext Context);
  template <typename Handler, typename FetchContext>
  [[nodiscard]] kj::Promise<void> fetch(const Handler &OnFetch,
                                        FetchContext Context);

  LoopContext &m_Context;
  SessionTable &m_Table;
  PeerSession &m_Session;
  std::size_t m_OpenCalls = 0;
};

} // namespace carawaypond::peer
