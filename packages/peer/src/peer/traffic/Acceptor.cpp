#include "peer/traffic/Acceptor.h"

#include "peer/traffic/Endpoint.h"

#include <boost/asio/read.hpp>

#include <utility>

namespace carawaypond::peer {

using boost::asio::ip::tcp;

Acceptor::Acceptor(TrafficContext &Context, Events Handlers)
    : m_Context(Context), m_Events(std::move(Handlers)),
      m_Listener(Context.Io) {}

Result<std::string> Acceptor::listen() {
  const std::string &Address = m_Context.Options.ListenAddress;
  Result<tcp::endpoint> Endpoint = parseEndpoint(Address);
  if (!Endpoint)
    return Endpoint.error();
  boost::system::error_code Code;
  m_Listener.open(Endpoint.value().protocol(), Code);
  if (!Code)
    m_Listener.set_option(tcp::acceptor::reuse_address(true), Code);
  if (!Code)
    m_Listener.bind(Endpoint.value(), Code);
  if (!Code)
    m_Listener.listen(boost::asio::socket_base::max_listen_connections, Code);
  if (Code)
    return failure(ErrorCode::Unavailable, Address + ": " + Code.message());
  return formatEndpoint(m_Listener.local_endpoint());
}

void Acceptor::start() { accept(); }

void Acceptor::sweep(TimePoint Now) {
  if (std::exchange(m_Paused, false))
    accept();
  std::erase_if(m_PendingConnections, [Now](const auto &Weak) {
    auto Waiting = Weak.lock();
    if (!Waiting)
      return true;
    if (Waiting->ExpiresAt > Now)
      return false;
    boost::system::error_code Ignored;
    Waiting->Connection.close(Ignored);
    return true;
  });
}

void Acceptor::close() {
  boost::system::error_code Ignored;
  m_Listener.close(Ignored);
}

void Acceptor::accept() {
  m_Listener.async_accept([this](boost::system::error_code Code, Socket Next) {
    if (Code == boost::asio::error::operation_aborted)
      return;
    if (Code) {
      m_Paused = true;
      return;
    }
    if (m_PendingConnections.size() < m_Context.Options.MaxInboundConnections) {
      std::shared_ptr<PendingConnection> Arrived(new PendingConnection{
          .Connection = std::move(Next),
          .ExpiresAt = monotonicNow() + m_Context.Options.HelloTimeout});
      m_PendingConnections.push_back(Arrived);
      readPreamble(Arrived);
    }
    accept();
  });
}

void Acceptor::readPreamble(const std::shared_ptr<PendingConnection> &Arrived) {
  boost::asio::async_read(
      Arrived->Connection, boost::asio::buffer(Arrived->ReceivedPreamble),
      [this, Arrived](boost::system::error_code Code, std::size_t) {
        if (Code)
          ++m_Context.Counters.InboundRejected;
        else
          dispatchByPreamble(*Arrived);
      });
}

void Acceptor::dispatchByPreamble(PendingConnection &Arrived) {
  if (Arrived.ReceivedPreamble == RpcPreamble)
    m_Events.OnRpc(std::move(Arrived.Connection));
  else if (Arrived.ReceivedPreamble == TrafficPreamble)
    m_Events.OnTraffic(std::move(Arrived.Connection));
  else
    ++m_Context.Counters.InboundRejected;
}

} // namespace carawaypond::peer
