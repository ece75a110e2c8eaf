#include "coordination/queue/ServerSlots.h"

#include "core/invariant/Invariant.h"

namespace carawaypond {

ServerState ServerSlots::stateOf(const ServerName &Server) const {
  auto Found = m_Accounts.find(Server);
  return Found == m_Accounts.end() ? ServerState::Down : Found->second.State;
}

bool ServerSlots::hasFree(const ServerName &Server) const {
  auto Found = m_Accounts.find(Server);
  if (Found == m_Accounts.end() || Found->second.State != ServerState::Up)
    return false;
  return Found->second.InUse < Found->second.Slots;
}

std::uint32_t ServerSlots::slots(const ServerName &Server) const {
  auto Found = m_Accounts.find(Server);
  return Found == m_Accounts.end() ? 0 : Found->second.Slots;
}

std::uint32_t ServerSlots::inUse(const ServerName &Server) const {
  auto Found = m_Accounts.find(Server);
  return Found == m_Accounts.end() ? 0 : Found->second.InUse;
}

void ServerSlots::setSlots(const ServerName &Server, std::uint32_t Slots) {
  m_Accounts[Server].Slots = Slots;
}

void ServerSlots::setState(const ServerName &Server, ServerState State) {
  m_Accounts[Server].State = State;
}

void ServerSlots::take(const ServerName &Server) {
  CARAWAYPOND_INVARIANT(stateOf(Server) == ServerState::Up,
                        "new work for a backend server that is not up");
  CARAWAYPOND_INVARIANT(hasFree(Server),
                        "more subrequests at a backend server than slots");
  ++m_Accounts[Server].InUse;
}

void ServerSlots::release(const ServerName &Server) {
  CARAWAYPOND_INVARIANT(inUse(Server) > 0, "a slot was released twice");
  --m_Accounts[Server].InUse;
}

} // namespace carawaypond
