#include "gateway/EndlessServer.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace carawaypond::gateway {

using boost::asio::awaitable;
using boost::asio::ip::tcp;

namespace {

constexpr auto AsTuple = boost::asio::as_tuple(boost::asio::use_awaitable);

} // namespace

EndlessServer::EndlessServer(std::string Head, std::string Piece)
    : m_Head(std::move(Head)), m_Piece(std::move(Piece)),
      m_Acceptor(m_Context,
                 tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)) {
  accept();
  m_Thread = std::thread([this] { m_Context.run(); });
}

EndlessServer::~EndlessServer() {
  m_Context.stop();
  m_Thread.join();
}

std::string EndlessServer::address() const {
  return "127.0.0.1:" + std::to_string(m_Acceptor.local_endpoint().port());
}

void EndlessServer::accept() {
  m_Acceptor.async_accept(
      [this](boost::system::error_code Failed, tcp::socket Peer) {
        if (Failed)
          return;
        boost::asio::co_spawn(m_Context, serve(std::move(Peer)),
                              boost::asio::detached);
        accept();
      });
}

awaitable<void> EndlessServer::serve(tcp::socket Peer) {
  std::string Asked;
  auto Buffer = boost::asio::dynamic_buffer(Asked);
  auto [NotRead, Length] =
      co_await boost::asio::async_read_until(Peer, Buffer, "\r\n\r\n", AsTuple);
  if (NotRead)
    co_return;
  ++m_Begun;
  std::string Next = m_Head + m_Piece;
  bool IsOpen = true;
  while (IsOpen) {
    auto Bytes = boost::asio::buffer(Next);
    auto [Failed, Taken] =
        co_await boost::asio::async_write(Peer, Bytes, AsTuple);
    m_Sent += Taken;
    IsOpen = !Failed;
    Next = m_Piece;
  }
  ++m_Closed;
}

} // namespace carawaypond::gateway
