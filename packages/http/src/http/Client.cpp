#include "http/Client.h"

#include "http/ConnectionPool.h"

namespace carawaypond::http {

using boost::asio::awaitable;
using internal::ConnectionPool;

namespace {

awaitable<Result<Response>> sendOnNew(std::shared_ptr<ConnectionPool> Pool,
                                      Request Asked, TimePoint Deadline) {
  Connection Fresh = Pool->make();
  auto Connected = co_await Fresh.connect(Deadline);
  if (!Connected)
    co_return boost::outcome_v2::failure(Connected.error());
  auto Answer = co_await Fresh.roundTrip(std::move(Asked), Deadline);
  Pool->keep(std::move(Fresh));
  co_return Answer;
}

bool canRetryOnNewConnection(const Result<Response> &Answer,
                             TimePoint Deadline) {
  return !Answer && Answer.error().Code == ErrorCode::NotConnected &&
         monotonicNow() < Deadline;
}

/// @brief Sends on a pooled connection if there is one, else on a new one.
awaitable<Result<Response>> sendPooled(std::shared_ptr<ConnectionPool> Pool,
                                       Request Asked, TimePoint Deadline) {
  std::optional<Connection> Kept = Pool->take();
  if (Kept) {
    Request Copy = Asked;
    auto Answer = co_await Kept->roundTrip(std::move(Copy), Deadline);
    Pool->keep(std::move(*Kept));
    if (!canRetryOnNewConnection(Answer, Deadline))
      co_return Answer;
  }
  co_return co_await sendOnNew(std::move(Pool), std::move(Asked), Deadline);
}

} // namespace

Client::Client(boost::asio::any_io_executor Executor, ClientOptions Options)
    : m_Pool(std::make_shared<ConnectionPool>(std::move(Executor),
                                              std::move(Options))) {}

Client::Client(Client &&) noexcept = default;
Client &Client::operator=(Client &&) noexcept = default;
Client::~Client() = default;

const std::string &Client::address() const { return m_Pool->address(); }

awaitable<Result<Response>> Client::send(Request Asked, TimePoint Deadline) {
  return sendPooled(m_Pool, std::move(Asked), Deadline);
}

} // namespace carawaypond::http
