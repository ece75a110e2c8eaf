#include "common/HttpSession.h"

#include "common/Sleep.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <array>
#include <string_view>
#include <utility>

namespace carawaypond::standins {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Error = boost::system::error_code;
using Response = http::response<http::string_body>;

constexpr int HttpVersion = 11;
constexpr std::size_t DiscardBytes = 512;

HttpRequest toRequest(http::request<http::string_body> &&Message) {
  std::string_view Target = Message.target();
  std::size_t Mark = Target.find('?');
  HttpRequest Request;
  Request.Method = Message.method_string();
  Request.Path = Target.substr(0, Mark);
  if (Mark != std::string_view::npos)
    Request.Query = Target.substr(Mark + 1);
  Request.IfMatch = Message[http::field::if_match];
  Request.IfNoneMatch = Message[http::field::if_none_match];
  Request.Body = std::move(Message.body());
  return Request;
}

Response toResponse(const HttpReply &Reply, bool KeepAlive) {
  Response Message(http::int_to_status(Reply.Status), HttpVersion);
  Message.set(http::field::content_type, "application/json");
  if (Reply.Draining)
    Message.set("X-Draining", "1");
  Message.keep_alive(KeepAlive);
  Message.body() = Reply.Body;
  Message.prepare_payload();
  return Message;
}

} // namespace

struct HttpSession::Reader {
  boost::beast::flat_buffer Buffer;
};

HttpSession::HttpSession(asio::ip::tcp::socket Socket,
                         const HttpServerOptions &Options,
                         const HttpHandler &Handler)
    : m_Socket(std::move(Socket)), m_Options(Options), m_Handler(Handler) {
  Error Ignored;
  m_Socket.set_option(asio::ip::tcp::no_delay(true), Ignored);
  m_Socket.non_blocking(true, Ignored);
}

asio::awaitable<void> HttpSession::run() {
  if (m_Options.ConnectionCost > Duration::zero())
    co_await sleepFor(m_Options.ConnectionCost);
  Reader Input;
  bool Open = true;
  while (Open)
    Open = co_await serveOne(Input);
  close();
}

asio::awaitable<bool> HttpSession::serveOne(Reader &Input) {
  http::request_parser<http::string_body> Parser;
  Parser.body_limit(m_Options.MaxBodyBytes);
  Error Failure;
  co_await http::async_read(m_Socket, Input.Buffer, Parser,
                            asio::redirect_error(asio::use_awaitable, Failure));
  if (Failure == http::error::body_limit) {
    HttpReply TooLarge{.Status = 413, .Body = R"({"reason":"too_large"})"};
    co_await send(TooLarge, false);
    co_return false;
  }
  if (Failure)
    co_return false;
  bool KeepAlive = Parser.get().keep_alive();
  HttpRequest Request = toRequest(Parser.release());
  m_Watch.reset();
  if (Input.Buffer.size() == 0)
    watchForClose();
  HttpReply Reply = co_await m_Handler(std::move(Request), m_Watch);
  m_Watch.reset();
  Error Ignored;
  m_Socket.cancel(Ignored);
  co_return co_await send(Reply, KeepAlive);
}

asio::awaitable<bool> HttpSession::send(const HttpReply &Reply,
                                        bool KeepAlive) {
  if (Reply.How == Delivery::Dropped)
    co_return false;
  if (Reply.How == Delivery::Withheld) {
    co_await waitForClose();
    co_return false;
  }
  if (Reply.How == Delivery::Truncated) {
    co_await sendTruncated(Reply);
    co_return false;
  }
  Response Message = toResponse(Reply, KeepAlive);
  Error Failure;
  co_await http::async_write(
      m_Socket, Message, asio::redirect_error(asio::use_awaitable, Failure));
  co_return !Failure && KeepAlive;
}

asio::awaitable<void> HttpSession::sendTruncated(const HttpReply &Reply) {
  Response Message = toResponse(Reply, false);
  http::response_serializer<http::string_body> Serializer(Message);
  Error Failure;
  co_await http::async_write_header(
      m_Socket, Serializer, asio::redirect_error(asio::use_awaitable, Failure));
  if (Failure)
    co_return;
  auto Half = asio::buffer(Reply.Body.data(), Reply.Body.size() / 2);
  co_await asio::async_write(
      m_Socket, Half, asio::redirect_error(asio::use_awaitable, Failure));
}

asio::awaitable<void> HttpSession::waitForClose() {
  std::array<char, DiscardBytes> Discarded{};
  Error Failure;
  while (!Failure)
    co_await m_Socket.async_read_some(
        asio::buffer(Discarded),
        asio::redirect_error(asio::use_awaitable, Failure));
}

void HttpSession::watchForClose() {
  m_Socket.async_wait(asio::ip::tcp::socket::wait_read,
                      [Self = shared_from_this()](const Error &Failure) {
                        if (!Failure)
                          Self->onReadable();
                      });
}

void HttpSession::onReadable() {
  char Byte = 0;
  Error Failure;
  m_Socket.receive(asio::buffer(&Byte, 1), asio::ip::tcp::socket::message_peek,
                   Failure);
  if (Failure && Failure != asio::error::would_block)
    m_Watch.notifyClosed();
}

void HttpSession::close() {
  Error Ignored;
  m_Socket.shutdown(asio::ip::tcp::socket::shutdown_both, Ignored);
  m_Socket.close(Ignored);
  m_Watch.notifyClosed();
}

} // namespace carawaypond::standins
