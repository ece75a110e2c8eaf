#include "daemon/traffic/ServiceTable.h"

namespace carawaypond::daemon {

ServiceTable::Entry ServiceTable::find(const ServiceName &Name) const {
  auto Found = m_Services.find(Name);
  return Found == m_Services.end() ? nullptr : Found->second;
}

void ServiceTable::apply(const ControlView &View) {
  std::erase_if(m_Services, [&](const auto &Row) {
    return !View.Services.contains(Row.first);
  });
  for (const auto &[Name, Service] : View.Services) {
    Entry &Kept = m_Services[Name];
    if (Kept)
      Kept->apply(Service, m_Policy);
    else
      Kept = std::make_shared<ServiceRuntime>(Service, m_Policy);
  }
}

void ServiceTable::setServerState(const ServerName &Server, ServerState State) {
  for (auto &[Name, Service] : m_Services) {
    if (Service->index().findServer(Server))
      Service->pinner().board().setState(Server, State);
  }
}

} // namespace carawaypond::daemon
