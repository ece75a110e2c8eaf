#include "http/SessionTable.h"

#include "http/Session.h"

namespace carawaypond::http::internal {

SessionTable::SessionTable(ListenerOptions Options, Handler Handle)
    : m_Options(std::move(Options)), m_Handler(std::move(Handle)),
      m_Memory(std::make_shared<MemoryBudget>(m_Options.MaxRequestMemory)) {}

bool SessionTable::hasRoomFor(const std::string &Ip) const {
  if (m_Sessions.size() >= m_Options.MaxConnections)
    return false;
  auto Found = m_OpenByIp.find(Ip);
  return Found == m_OpenByIp.end() ||
         Found->second < m_Options.MaxConnectionsPerAddress;
}

void SessionTable::add(Session &Added) {
  m_Sessions.insert(&Added);
  ++m_OpenByIp[Added.remoteIp()];
  ++m_Stats.Accepted;
  ++m_Stats.Open;
}

void SessionTable::remove(Session &Removed) {
  m_Sessions.erase(&Removed);
  auto Found = m_OpenByIp.find(Removed.remoteIp());
  if (--Found->second == 0)
    m_OpenByIp.erase(Found);
  --m_Stats.Open;
}

void SessionTable::setLimits(const ListenerOptions &Limits) {
  m_Options.MaxBodyBytes = Limits.MaxBodyBytes;
  m_Options.MaxHeaderBytes = Limits.MaxHeaderBytes;
  m_Options.HeaderTimeout = Limits.HeaderTimeout;
  m_Options.IdleTimeout = Limits.IdleTimeout;
  m_Options.BodyTimeout = Limits.BodyTimeout;
}

void SessionTable::expire(TimePoint Now) {
  for (Session *Open : m_Sessions)
    Open->expire(Now);
}

void SessionTable::closeIdle() {
  for (Session *Open : m_Sessions)
    Open->closeWhenIdle();
}

void SessionTable::abort() {
  for (Session *Open : m_Sessions)
    Open->abort();
}

} // namespace carawaypond::http::internal
