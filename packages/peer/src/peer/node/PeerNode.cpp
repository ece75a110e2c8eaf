#include "peer/node/PeerNode.h"

#include "core/invariant/Invariant.h"
#include "peer/loop/NodeLoop.h"
#include "peer/loop/PeerCounters.h"
#include "peer/loop/TaskQueue.h"
#include "peer/traffic/TrafficNode.h"

#include <kj/exception.h>

#include <future>
#include <thread>
#include <utility>

#include <unistd.h>

namespace carawaypond::peer {

namespace {

/// Discards KJ's log messages, which would go to standard error. Failures are
/// counted in PeerStats.
class LogSuppressor final : public kj::ExceptionCallback {
public:
  void logMessage(kj::LogSeverity, const char *, int, int,
                  kj::String &&) override {}
};

} // namespace

class PeerNode::Impl {
public:
  Impl(PeerOptions Options, PeerHandlers Handlers)
      : m_Options(std::move(Options)), m_Handlers(std::move(Handlers)) {}
  ~Impl() { stop(); }
  Impl(const Impl &) = delete;
  Impl &operator=(const Impl &) = delete;

  [[nodiscard]] const std::string &address() const { return m_Address; }
  [[nodiscard]] PeerStats stats() const { return m_Counters.snapshot(); }

  Result<void> start() {
    Result<std::string> Listening = m_Traffic.listen();
    if (!Listening)
      return Listening.error();
    m_Address = std::move(Listening.value());
    std::promise<void> Started;
    m_Thread = std::thread([this, &Started] { serve(Started); });
    Started.get_future().wait();
    m_Traffic.start();
    return success();
  }

  [[nodiscard]] TrafficNode &traffic() { return m_Traffic; }

  /// Runs @p Next with the link to @p Address on the control thread.
  template <typename Call> void onLink(std::string Address, Call Next) {
    bool Posted = m_Queue->post(
        [this, Address = std::move(Address), Next = std::move(Next)]() mutable {
          Next(m_Loop->links().linkTo(Address));
        });
    CARAWAYPOND_INVARIANT(Posted, "call on a stopped node");
  }

private:
  void serve(std::promise<void> &Started) {
    LogSuppressor Log;
    NodeLoop Loop(
        m_Options, m_Handlers, m_Counters, m_Incarnations, m_Queue,
        [this](const std::string &Address) { m_Traffic.drop(Address); });
    m_Loop = &Loop;
    Started.set_value();
    Loop.run();
  }

  void stop() {
    if (!m_Thread.joinable())
      return;
    m_Traffic.stop();
    m_Queue->post([this] { m_Loop->stop(); });
    m_Thread.join();
  }

  void adoptOnLoop(int Descriptor) {
    if (!m_Queue->post([this, Descriptor] { m_Loop->adopt(Descriptor); }))
      ::close(Descriptor);
  }

  const PeerOptions m_Options;
  const PeerHandlers m_Handlers;
  PeerCounters m_Counters;
  IncarnationRegistry m_Incarnations;
  std::shared_ptr<TaskQueue> m_Queue = std::make_shared<TaskQueue>();
  NodeLoop *m_Loop = nullptr;
  std::string m_Address;
  TrafficNode m_Traffic{std::shared_ptr<TrafficContext>(
                            new TrafficContext{.Options = m_Options,
                                               .Handlers = m_Handlers,
                                               .Counters = m_Counters,
                                               .Incarnations = m_Incarnations}),
                        [this](int Descriptor) { adoptOnLoop(Descriptor); }};
  std::thread m_Thread;
};

Result<std::unique_ptr<PeerNode>> PeerNode::open(PeerOptions Options,
                                                 PeerHandlers Handlers) {
  auto Pimpl = std::make_unique<Impl>(std::move(Options), std::move(Handlers));
  if (Result<void> Started = Pimpl->start(); !Started)
    return Started.error();
  return std::unique_ptr<PeerNode>(new PeerNode(std::move(Pimpl)));
}

PeerNode::PeerNode(std::unique_ptr<Impl> Pimpl) : m_Impl(std::move(Pimpl)) {}

PeerNode::~PeerNode() = default;

const std::string &PeerNode::address() const { return m_Impl->address(); }

PeerStats PeerNode::stats() const { return m_Impl->stats(); }

void PeerNode::exchange(std::string Address, Digest Own, Reply<Digest> OnReply,
                        Duration Timeout) {
  m_Impl->onLink(std::move(Address),
                 [Own = std::move(Own), OnReply = std::move(OnReply),
                  Timeout](PeerLink &Link) mutable {
                   Link.exchange(std::move(Own), std::move(OnReply), Timeout);
                 });
}

void PeerNode::fetchServices(std::string Address,
                             std::vector<std::string> Names,
                             Reply<std::vector<StoredObject>> OnReply,
                             Duration Timeout) {
  m_Impl->onLink(std::move(Address),
                 [Names = std::move(Names), OnReply = std::move(OnReply),
                  Timeout](PeerLink &Link) mutable {
                   Link.fetch(PeerLink::ObjectKind::Service, std::move(Names),
                              std::move(OnReply), Timeout);
                 });
}

void PeerNode::fetchIndexes(std::string Address, std::vector<std::string> Names,
                            Reply<std::vector<StoredObject>> OnReply,
                            Duration Timeout) {
  m_Impl->onLink(std::move(Address),
                 [Names = std::move(Names), OnReply = std::move(OnReply),
                  Timeout](PeerLink &Link) mutable {
                   Link.fetch(PeerLink::ObjectKind::Index, std::move(Names),
                              std::move(OnReply), Timeout);
                 });
}

void PeerNode::run(std::string Address, Incarnation Expected,
                   std::vector<PeerSubrequest> Batch, RunObserver Observer) {
  m_Impl->traffic().run(std::move(Address), Expected, std::move(Batch),
                        std::move(Observer));
}

void PeerNode::cancel(std::string Address, std::vector<SubrequestId> Ids) {
  m_Impl->traffic().cancel(std::move(Address), std::move(Ids));
}

void PeerNode::query(std::string Address, Incarnation Expected, PeerQuery Query,
                     Reply<PeerQueryAnswer> OnReply, Duration Timeout) {
  m_Impl->onLink(std::move(Address), [Expected, Query = std::move(Query),
                                      OnReply = std::move(OnReply),
                                      Timeout](PeerLink &Link) mutable {
    Link.query(Expected, std::move(Query), std::move(OnReply), Timeout);
  });
}

} // namespace carawaypond::peer
