#include "peer/traffic/TrafficNode.h"

#include <boost/asio/post.hpp>

#include <utility>

namespace carawaypond::peer {

namespace {

/// Interval of the check for expired runs, connection attempts and hellos.
constexpr Duration SweepInterval = Milliseconds(100);

} // namespace

TrafficNode::TrafficNode(std::shared_ptr<TrafficContext> Context,
                         OnRpcConnection OnRpc)
    : m_Context(std::move(Context)),
      m_Acceptor(
          *m_Context,
          {.OnRpc = [OnRpc = std::move(OnRpc)](
                        Acceptor::Socket Socket) { OnRpc(Socket.release()); },
           .OnTraffic =
               [this](Acceptor::Socket Socket) {
                 addSession(std::move(Socket));
               }}),
      m_Tick(m_Context->Io) {}

TrafficNode::~TrafficNode() { stop(); }

Result<std::string> TrafficNode::listen() { return m_Acceptor.listen(); }

void TrafficNode::start() {
  m_Acceptor.start();
  tick();
  m_Thread = std::thread([this] { m_Context->Io.run(); });
}

void TrafficNode::stop() {
  if (!m_Thread.joinable())
    return;
  boost::asio::post(m_Context->Io, [this] { closeAll(); });
  m_Thread.join();
}

void TrafficNode::run(std::string Address, Incarnation Expected,
                      std::vector<PeerSubrequest> Batch, RunObserver Observer) {
  boost::asio::post(m_Context->Io, [this, Address = std::move(Address),
                                    Expected, Batch = std::move(Batch),
                                    Observer = std::move(Observer)]() mutable {
    linkTo(Address).run(Expected, std::move(Batch), std::move(Observer));
  });
}

void TrafficNode::cancel(std::string Address, std::vector<SubrequestId> Ids) {
  boost::asio::post(m_Context->Io,
                    [this, Address = std::move(Address), Ids = std::move(Ids)] {
                      linkTo(Address).cancel(Ids);
                    });
}

void TrafficNode::drop(std::string Address) {
  boost::asio::post(m_Context->Io, [this, Address = std::move(Address)] {
    if (auto Link = m_Links.find(Address); Link != m_Links.end())
      Link->second->drop("the peer is silent");
  });
}

TrafficLink &TrafficNode::linkTo(const std::string &Address) {
  std::shared_ptr<TrafficLink> &Link = m_Links[Address];
  if (!Link)
    Link = std::make_shared<TrafficLink>(*m_Context, Address);
  return *Link;
}

void TrafficNode::addSession(boost::asio::ip::tcp::socket Socket) {
  if (m_Sessions.size() >= m_Context->Options.MaxInboundConnections) {
    ++m_Context->Counters.CallsRefused;
    return;
  }
  auto Added = std::make_shared<TrafficSession>(
      m_Context, std::move(Socket),
      [this](const PeerIdentity &Peer) { closeFormerIncarnations(Peer); });
  m_Sessions.push_back(Added);
  Added->start();
}

void TrafficNode::closeFormerIncarnations(const PeerIdentity &Peer) {
  for (const auto &Session : m_Sessions) {
    const auto &Known = Session->peer();
    if (Known && Known->Vm == Peer.Vm &&
        Known->IncarnationNumber < Peer.IncarnationNumber)
      Session->close();
  }
}

void TrafficNode::tick() {
  m_Tick.expires_after(SweepInterval);
  m_Tick.async_wait([this](boost::system::error_code Code) {
    if (Code)
      return;
    sweep();
    tick();
  });
}

void TrafficNode::sweep() {
  TimePoint Now = monotonicNow();
  m_Acceptor.sweep(Now);
  for (auto &[Address, Link] : m_Links)
    Link->sweep(Now);
  std::erase_if(m_Links,
                [Now](const auto &Entry) { return Entry.second->isIdle(Now); });
  for (const auto &Session : m_Sessions)
    Session->sweep(Now);
  std::erase_if(m_Sessions,
                [](const auto &Session) { return Session->isClosed(); });
}

void TrafficNode::closeAll() {
  m_Tick.cancel();
  m_Acceptor.close();
  for (auto &[Address, Link] : m_Links)
    Link->drop("this node stops");
  for (const auto &Session : m_Sessions)
    Session->close();
  m_Links.clear();
  m_Sessions.clear();
  m_Context->Io.stop();
}

} // namespace carawaypond::peer
