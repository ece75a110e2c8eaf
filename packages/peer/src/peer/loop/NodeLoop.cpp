#include "peer/loop/NodeLoop.h"

#include <utility>
#include <vector>

namespace carawaypond::peer {

namespace {

/// Interval of the check for idle links and expired hello timeouts.
constexpr Duration SweepInterval = Milliseconds(100);
/// Maximum time that shutdown waits for the replies of failed calls.
constexpr Duration CloseTimeout = Milliseconds(1000);

} // namespace

NodeLoop::NodeLoop(const PeerOptions &Options, const PeerHandlers &Handlers,
                   PeerCounters &Counters, IncarnationRegistry &Incarnations,
                   std::shared_ptr<TaskQueue> Queue,
                   PeerLink::UnresponsiveHandler OnUnresponsive)
    : m_Io(kj::setupAsyncIo()), m_Context{.Network =
                                              m_Io.provider->getNetwork(),
                                          .Timer = m_Io.provider->getTimer(),
                                          .Options = Options,
                                          .Handlers = Handlers,
                                          .Counters = Counters,
                                          .Incarnations = Incarnations,
                                          .Queue = std::move(Queue)},
      m_Wake(m_Io.unixEventPort, m_Context.Queue->wakeFd(),
             kj::UnixEventPort::FdObserver::OBSERVE_READ),
      m_Links(m_Context, std::move(OnUnresponsive)), m_Sessions(m_Context),
      m_Stopped(kj::newPromiseAndFulfiller<void>()) {}

void NodeLoop::adopt(int Descriptor) {
  constexpr auto Flags = kj::LowLevelAsyncIoProvider::TAKE_OWNERSHIP;
  m_Sessions.add(m_Io.lowLevelProvider->wrapSocketFd(Descriptor, Flags));
}

void NodeLoop::run() {
  auto Pump = pumpTasks().eagerlyEvaluate(nullptr);
  auto Tick = tick().eagerlyEvaluate(nullptr);
  m_Stopped.promise.wait(m_Io.waitScope);
  shutDown();
}

void NodeLoop::stop() { m_Stopped.fulfiller->fulfill(); }

kj::Promise<void> NodeLoop::pumpTasks() {
  // Registers the wait before running tasks, so that a task posted while others
  // run is not missed.
  auto More = m_Wake.whenBecomesReadable();
  runTasks();
  return More.then([this] { return pumpTasks(); });
}

kj::Promise<void> NodeLoop::tick() {
  return m_Context.Timer.afterDelay(toKj(SweepInterval)).then([this] {
    TimePoint Now = monotonicNow();
    m_Links.sweep(Now);
    m_Sessions.sweep(Now);
    return tick();
  });
}

void NodeLoop::runTasks() {
  for (TaskQueue::Task &Next : m_Context.Queue->takeAll())
    Next();
}

void NodeLoop::shutDown() {
  auto Timeout = m_Context.Timer.afterDelay(toKj(CloseTimeout));
  m_Links.close().exclusiveJoin(kj::mv(Timeout)).wait(m_Io.waitScope);
  m_Sessions.closeAll();
  m_Context.Queue->close();
  runTasks();
}

} // namespace carawaypond::peer
