#include "gateway/RepeatingServer.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <utility>

namespace carawaypond::gateway {

using boost::asio::awaitable;
using boost::asio::ip::tcp;

namespace {

constexpr auto AsTuple = boost::asio::as_tuple(boost::asio::use_awaitable);
constexpr std::string_view IdHeader = "X-Request-Id: ";

std::string requestId(const std::string &Head) {
  std::size_t Begin = Head.find(IdHeader) + IdHeader.size();
  return Head.substr(Begin, Head.find("\r\n", Begin) - Begin);
}

} // namespace

RepeatingServer::RepeatingServer(std::string Rejection, std::string Interim)
    : m_Rejection(std::move(Rejection)), m_Interim(std::move(Interim)),
      m_Acceptor(m_Context,
                 tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)) {
  accept();
  m_Thread = std::thread([this] { m_Context.run(); });
}

RepeatingServer::~RepeatingServer() {
  m_Context.stop();
  m_Thread.join();
}

std::string RepeatingServer::address() const {
  return "127.0.0.1:" + std::to_string(m_Acceptor.local_endpoint().port());
}

void RepeatingServer::accept() {
  m_Acceptor.async_accept(
      [this](boost::system::error_code Failed, tcp::socket Peer) {
        if (Failed)
          return;
        boost::asio::co_spawn(m_Context, serve(std::move(Peer)),
                              boost::asio::detached);
        accept();
      });
}

std::string RepeatingServer::answer(const std::string &RequestHead) {
  std::string Id = std::string(IdHeader) + requestId(RequestHead) + "\r\n";
  if (m_Rejected == 0) {
    ++m_Rejected;
    return m_Interim + "HTTP/1.1 " + m_Rejection + "\r\n" + Id +
           "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
  }
  ++m_Runs;
  return m_Interim + "HTTP/1.1 200 OK\r\n" + Id +
         "X-Server-Stamp: 3e1b.07\r\nContent-Length: 4\r\n\r\ndone";
}

awaitable<void> RepeatingServer::serve(tcp::socket Peer) {
  std::string Received;
  std::string Repeated;
  bool IsOpen = true;
  while (IsOpen) {
    auto Buffer = boost::asio::dynamic_buffer(Received);
    auto [NotRead, Length] = co_await boost::asio::async_read_until(
        Peer, Buffer, "\r\n\r\n", AsTuple);
    if (NotRead)
      co_return;
    bool WasRejecting = m_Rejected == 0;
    std::string Answer = answer(Received.substr(0, Length));
    Received.erase(0, Length);
    std::string Text = std::exchange(Repeated, WasRejecting ? Answer : "");
    Text += Answer;
    auto Bytes = boost::asio::buffer(Text);
    auto [Failed, Taken] =
        co_await boost::asio::async_write(Peer, Bytes, AsTuple);
    IsOpen = !Failed;
  }
}

} // namespace carawaypond::gateway
