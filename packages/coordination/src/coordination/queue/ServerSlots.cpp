#include "coordination/queue/ServerSlots.h"

#include "core/invariant/Invariant.h"

namespace carawaypond {

ServerState ServerSlots::stateOf(const ServerName &Server) const {
  auto Found = m_UsageByServer.find(Server);
  return Found == m_UsageByServer.end() ? ServerState::Down
                                        : Found->second.State;
}

bool ServerSlots::hasFree(const ServerName &Server) const {
  auto Found = m_UsageByServer.find(Server);
  if (Found == m_UsageByServer.end() || Found->second.State != ServerState::Up)
    return false;
  return Found->second.InUse < Found->second.Slots;
}

std::uint32_t ServerSlots::slots(const ServerName &Server) const {
  auto Found = m_UsageByServer.find(Server);
  return Found == m_UsageByServer.end() ? 0 : Found->second.Slots;
}

std::uint32_t ServerSlots::inUse(const ServerName &Server) const {
  auto Found = m_UsageByServer.find(Server);
  return Found == m_UsageByServer.end() ? 0 : Found->second.InUse;
}

void ServerSlots::setSlots(const ServerName &Server, std::uint32_t Slots) {
  m_UsageByServer[Server].Slots = Slots;
}

void ServerSlots::setState(const ServerName &Server, ServerState State) {
  m_UsageByServer[Server].State = State;
}

void ServerSlots::acquire(const ServerName &Server) {
  CARAWAYPOND_INVARIANT(
      stateOf(Server) == ServerState::Up,
      "a subrequest was sent to a backend server that is not up");
  CARAWAYPOND_INVARIANT(hasFree(Server),
                        "a backend server has more subrequests than slots");
  ++m_UsageByServer[Server].InUse;
}

void ServerSlots::release(const ServerName &Server) {
  CARAWAYPOND_INVARIANT(inUse(Server) > 0, "a slot was released twice");
  --m_UsageByServer[Server].InUse;
}

} // namespace carawaypond
