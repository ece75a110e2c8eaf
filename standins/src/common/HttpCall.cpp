#include "common/HttpCall.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <charconv>
#include <optional>
#include <utility>

namespace carawaypond::standins {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using Endpoint = asio::ip::tcp::endpoint;
using SystemError = boost::system::error_code;
using Request = http::request<http::string_body>;

constexpr int HttpVersion = 11;

std::optional<Endpoint> parseEndpoint(const std::string &Text) {
  std::size_t Colon = Text.rfind(':');
  if (Colon == std::string::npos)
    return std::nullopt;
  SystemError Failure;
  auto Address = asio::ip::make_address(Text.substr(0, Colon), Failure);
  std::uint16_t Port = 0;
  const char *End = Text.data() + Text.size();
  auto Parsed = std::from_chars(Text.data() + Colon + 1, End, Port);
  if (Failure || Parsed.ec != std::errc() || Parsed.ptr != End)
    return std::nullopt;
  return Endpoint(Address, Port);
}

Request toMessage(HttpCall &Call) {
  Request Message(http::string_to_verb(Call.Method), Call.Target, HttpVersion);
  Message.set(http::field::host, Call.Server);
  Message.set(http::field::content_type, "application/json");
  if (!Call.IfMatch.empty())
    Message.set(http::field::if_match, Call.IfMatch);
  if (!Call.IfNoneMatch.empty())
    Message.set(http::field::if_none_match, Call.IfNoneMatch);
  Message.body() = std::move(Call.Body);
  Message.prepare_payload();
  return Message;
}

Result<HttpAnswer> lost(const HttpCall &Call, const SystemError &Failure) {
  return failure(ErrorCode::ConnectionLost, Call.Method + " " + Call.Target +
                                                " at " + Call.Server + ": " +
                                                Failure.message());
}

} // namespace

asio::awaitable<Result<HttpAnswer>> call(HttpCall Call) {
  std::optional<Endpoint> Where = parseEndpoint(Call.Server);
  if (!Where)
    co_return failure(ErrorCode::InvalidInput,
                      "\"" + Call.Server + "\" is not ip:port");
  auto Executor = co_await asio::this_coro::executor;
  beast::tcp_stream Stream(Executor);
  Stream.expires_after(Call.Timeout);
  SystemError Failure;
  auto Token = asio::redirect_error(asio::use_awaitable, Failure);
  co_await Stream.async_connect(*Where, Token);
  if (Failure)
    co_return lost(Call, Failure);
  Request Message = toMessage(Call);
  co_await http::async_write(Stream, Message, Token);
  if (Failure)
    co_return lost(Call, Failure);
  beast::flat_buffer Buffer;
  http::response<http::string_body> Response;
  co_await http::async_read(Stream, Buffer, Response, Token);
  if (Failure)
    co_return lost(Call, Failure);
  co_return HttpAnswer{.Status = Response.result_int(),
                       .Body = std::move(Response.body())};
}

} // namespace carawaypond::standins
