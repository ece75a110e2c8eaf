#include "backend/pool/ServerPool.h"

#include "backend/search/SearchCodec.h"
#include "core/invariant/Invariant.h"
#include "http/Connection.h"
#include "http/Message.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace carawaypond::backend {

namespace asio = boost::asio;

/// @brief Holds one of the pool's connections. The destructor returns it to the
/// pool, or counts it as closed.
class ServerPool::Lease {
public:
  Lease(ServerPool &Pool, std::unique_ptr<http::Connection> Connection)
      : m_Pool(Pool), m_Connection(std::move(Connection)) {}
  Lease(Lease &&) = default;
  Lease &operator=(Lease &&) = delete;
  Lease(const Lease &) = delete;
  Lease &operator=(const Lease &) = delete;
  ~Lease() {
    if (m_Connection)
      m_Pool.giveBack(std::move(m_Connection));
  }

  [[nodiscard]] http::Connection &connection() { return *m_Connection; }

private:
  ServerPool &m_Pool;
  std::unique_ptr<http::Connection> m_Connection;
};

ServerPool::ServerPool(asio::any_io_executor Executor,
                       ServerPoolOptions Options)
    : m_Executor(std::move(Executor)), m_Options(std::move(Options)) {}

ServerPool::~ServerPool() = default;

const ServerPoolStats &ServerPool::stats() const { return m_Stats; }

const ServerPoolOptions &ServerPool::options() const { return m_Options; }

bool ServerPool::canLease() const {
  return !m_Idle.empty() || m_Stats.Open < m_Options.MaxConnections;
}

ServerPool::Lease ServerPool::lease() {
  if (!m_Idle.empty()) {
    std::unique_ptr<http::Connection> Connection =
        std::move(m_Idle.back().Connection);
    m_Idle.pop_back();
    return {*this, std::move(Connection)};
  }
  CARAWAYPOND_INVARIANT(m_Stats.Open < m_Options.MaxConnections,
                        "more connections than this VM's share of the limit");
  ++m_Stats.Open;
  ++m_Stats.Opened;
  return {*this,
          std::make_unique<http::Connection>(m_Executor, m_Options.Address)};
}

void ServerPool::giveBack(std::unique_ptr<http::Connection> Connection) {
  bool IsSurplus = m_Stats.Open > m_Options.MaxConnections;
  if (Connection->isOpen() && !IsSurplus) {
    m_Idle.push_back({std::move(Connection), monotonicNow()});
    return;
  }
  --m_Stats.Open;
}

asio::awaitable<Result<http::Response>>
ServerPool::call(http::Request Request, TimePoint Deadline,
                 const Permission &MaySend) {
  if (!canLease()) {
    ++m_Stats.Exhausted;
    co_return failure(ErrorCode::NotConnected, "all connections to server \"" +
                                                   m_Options.Server.value() +
                                                   "\" are in use");
  }
  Lease Held = lease();
  http::Connection &Connection = Held.connection();
  if (!Connection.isOpen()) {
    Result<void> Connected = co_await Connection.connect(Deadline);
    if (!Connected)
      co_return failure(ErrorCode::NotConnected, Connected.error().Message);
  }
  if (MaySend && !MaySend())
    co_return failure(ErrorCode::Unavailable,
                      "no new work may go to server \"" +
                          m_Options.Server.value() + "\"");
  co_return co_await Connection.roundTrip(std::move(Request), Deadline);
}

asio::awaitable<SearchOutcome> ServerPool::search(SearchRequest Search,
                                                  Permission MaySend) {
  Result<http::Response> Response =
      co_await call(encodeSearch(Search), Search.Deadline, MaySend);
  if (!Response)
    co_return outcomeOf(Response.error());
  co_return decodeSearch(Search, Response.value());
}

asio::awaitable<bool> ServerPool::cancel(std::string Id, TimePoint Deadline) {
  http::Request Request{.Method = "POST",
                        .Path = "/v1/cancel",
                        .Body = nlohmann::json{{"id", Id}}.dump()};
  Permission Always;
  Result<http::Response> Response =
      co_await call(std::move(Request), Deadline, Always);
  if (!Response || Response.value().Status != 200)
    co_return false;
  nlohmann::json Body =
      nlohmann::json::parse(Response.value().Body, nullptr, false);
  co_return Body.is_object() && Body.value("state", "") == "not_started";
}

asio::awaitable<Result<ServerStatus>> ServerPool::status(TimePoint Deadline) {
  http::Request Request{.Method = "GET", .Path = "/v1/status"};
  Permission Always;
  Result<http::Response> Response =
      co_await call(std::move(Request), Deadline, Always);
  if (!Response)
    co_return boost::outcome_v2::failure(Response.error());
  co_return decodeStatus(Response.value());
}

void ServerPool::setMaxConnections(std::size_t Max) {
  m_Options.MaxConnections = Max;
  while (!m_Idle.empty() && m_Stats.Open > Max)
    dropIdle();
}

void ServerPool::dropIdle() {
  m_Idle.erase(m_Idle.begin());
  --m_Stats.Open;
}

void ServerPool::closeIdleSince(TimePoint Since) {
  while (!m_Idle.empty() && m_Idle.front().Since < Since)
    dropIdle();
}

} // namespace carawaypond::backend
