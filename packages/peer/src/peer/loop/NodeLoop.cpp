#include "peer/loop/NodeLoop.h"

#include "peer/loop/NumericAddress.h"

#include <utility>
#include <vector>

namespace carawaypond::peer {

namespace {

/// How often timed-out runs and overdue sessions are looked for.
constexpr Duration SweepInterval = Milliseconds(100);
/// The wait before accepting goes on after a failure, such as no descriptors.
constexpr Duration AcceptRetry = Milliseconds(100);
/// How long a stop waits for the last replies.
constexpr Duration CloseTimeout = Milliseconds(1000);

} // namespace

NodeLoop::NodeLoop(const PeerOptions &Options, const PeerHandlers &Handlers,
                   PeerCounters &Counters, std::shared_ptr<TaskQueue> Queue)
    : m_Io(kj::setupAsyncIo()), m_Context{.Network =
                                              m_Io.provider->getNetwork(),
                                          .Timer = m_Io.provider->getTimer(),
                                          .Options = Options,
                                          .Handlers = Handlers,
                                          .Counters = Counters,
                                          .Queue = std::move(Queue)},
      m_Wake(m_Io.unixEventPort, m_Context.Queue->wakeFd(),
             kj::UnixEventPort::FdObserver::OBSERVE_READ),
      m_Links(m_Context), m_Sessions(m_Context),
      m_Stopped(kj::newPromiseAndFulfiller<void>()) {}

Result<std::string> NodeLoop::listen() {
  const std::string &Address = m_Context.Options.ListenAddress;
  if (Result<void> Valid = checkNumericAddress(Address); !Valid)
    return Valid.error();
  try {
    auto Local =
        m_Context.Network.parseAddress(Address.c_str()).wait(m_Io.waitScope);
    m_Listener = Local->listen();
  } catch (const kj::Exception &Cause) {
    return failure(ErrorCode::Unavailable,
                   Address + ": " + Cause.getDescription().cStr());
  }
  std::string Host = Address.substr(0, Address.rfind(':'));
  return Host + ":" + std::to_string(m_Listener->getPort());
}

void NodeLoop::run() {
  auto Pump = pumpTasks().eagerlyEvaluate(nullptr);
  auto Accept = acceptConnections().eagerlyEvaluate(nullptr);
  auto Tick = tick().eagerlyEvaluate(nullptr);
  m_Stopped.promise.wait(m_Io.waitScope);
  Accept = nullptr;
  shutDown();
}

void NodeLoop::stop() { m_Stopped.fulfiller->fulfill(); }

kj::Promise<void> NodeLoop::pumpTasks() {
  // Waits first, so that a task posted while others run is not missed.
  auto More = m_Wake.whenBecomesReadable();
  runTasks();
  return More.then([this] { return pumpTasks(); });
}

kj::Promise<void> NodeLoop::acceptConnections() {
  return m_Listener->accept()
      .then([this](kj::Own<kj::AsyncIoStream> Stream) {
        m_Sessions.add(kj::mv(Stream));
      })
      .catch_([this](kj::Exception &&) {
        return m_Context.Timer.afterDelay(toKj(AcceptRetry));
      })
      .then([this] { return acceptConnections(); });
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
  m_Sessions.flush();
}

void NodeLoop::shutDown() {
  auto Timeout = m_Context.Timer.afterDelay(toKj(CloseTimeout));
  m_Links.close().exclusiveJoin(kj::mv(Timeout)).wait(m_Io.waitScope);
  m_Sessions.closeAll();
  m_Context.Queue->close();
  runTasks();
}

} // namespace carawaypond::peer
