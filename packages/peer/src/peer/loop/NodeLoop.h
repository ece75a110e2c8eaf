#pragma once

#include "peer/link/LinkTable.h"
#include "peer/loop/LoopContext.h"
#include "peer/loop/PeerCounters.h"
#include "peer/loop/TaskQueue.h"
#include "peer/node/PeerHandlers.h"
#include "peer/node/PeerOptions.h"
#include "peer/session/SessionTable.h"

#include <kj/async-io.h>
#include <kj/async-unix.h>

#include <memory>

namespace carawaypond::peer {

/// @brief KJ event loop with the RPC links and sessions. Created, run and
/// destroyed on the control thread.
class NodeLoop {
public:
  NodeLoop(const PeerOptions &Options, const PeerHandlers &Handlers,
           PeerCounters &Counters, IncarnationRegistry &Incarnations,
           std::shared_ptr<TaskQueue> Queue,
           PeerLink::UnresponsiveHandler OnUnresponsive);
  NodeLoop(const NodeLoop &) = delete;
  NodeLoop &operator=(const NodeLoop &) = delete;

  [[nodiscard]] LinkTable &links() { return m_Links; }

  /// @brief Takes ownership of the descriptor of an inbound connection.
  void adopt(int Descriptor);
  /// @brief Runs until stop(), then closes all links and sessions.
  void run();
  void stop();

private:
  [[nodiscard]] kj::Promise<void> pumpTasks();
  [[nodiscard]] kj::Promise<void> tick();
  void runTasks();
  void shutDown();

  kj::AsyncIoContext m_Io;
  LoopContext m_Context;
  kj::UnixEventPort::FdObserver m_Wake;
  LinkTable m_Links;
  SessionTable m_Sessions;
  kj::PromiseFulfillerPair<void> m_Stopped;
};

} // namespace carawaypond::peer
