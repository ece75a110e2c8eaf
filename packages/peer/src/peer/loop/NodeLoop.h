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

/// @brief KJ's event loop and all that runs on it; made, run and destroyed on
/// the node's thread.
class NodeLoop {
public:
  NodeLoop(const PeerOptions &Options, const PeerHandlers &Handlers,
           PeerCounters &Counters, IncarnationRegistry &Incarnations,
           std::shared_ptr<TaskQueue> Queue, PeerLink::OnSilent Silent);
  NodeLoop(const NodeLoop &) = delete;
  NodeLoop &operator=(const NodeLoop &) = delete;

  [[nodiscard]] LinkTable &links() { return m_Links; }

  /// @brief Takes over the descriptor of a connection that a peer opened.
  void adopt(int Descriptor);
  /// @brief Serves until stop(), then ends what is open.
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
