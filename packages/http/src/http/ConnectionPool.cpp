#include "http/ConnectionPool.h"

namespace carawaypond::http::internal {

ConnectionPool::ConnectionPool(boost::asio::any_io_executor Executor,
                               ClientOptions Options)
    : m_Executor(std::move(Executor)), m_Options(std::move(Options)) {}

std::optional<Connection> ConnectionPool::take() {
  while (!m_Idle.empty()) {
    Connection Last = std::move(m_Idle.back());
    m_Idle.pop_back();
    if (Last.isOpen())
      return Last;
  }
  return std::nullopt;
}

Connection ConnectionPool::make() const {
  return {m_Executor, m_Options.Address, m_Options.Limits};
}

void ConnectionPool::keep(Connection Used) {
  if (Used.isOpen() && m_Idle.size() < m_Options.MaxIdle)
    m_Idle.push_back(std::move(Used));
}

} // namespace carawaypond::http::internal
