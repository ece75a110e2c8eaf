#include "gateway/SilentServer.h"

namespace carawaypond::gateway {

using boost::asio::ip::tcp;

SilentServer::SilentServer()
    : m_Acceptor(m_Context,
                 tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)) {
  accept();
  m_Thread = std::thread([this] { m_Context.run(); });
}

SilentServer::~SilentServer() {
  m_Context.stop();
  m_Thread.join();
}

std::string SilentServer::address() const {
  return "127.0.0.1:" + std::to_string(m_Acceptor.local_endpoint().port());
}

void SilentServer::accept() {
  m_Acceptor.async_accept(
      [this](boost::system::error_code Failed, tcp::socket Peer) {
        if (Failed)
          return;
        tcp::socket &Kept = m_Peers.emplace_back(std::move(Peer));
        Kept.async_wait(tcp::socket::wait_read,
                        [this](boost::system::error_code) { ++m_Arrivals; });
        accept();
      });
}

} // namespace carawaypond::gateway
