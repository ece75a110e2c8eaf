#include "daemon/control/OperatorViews.h"

#include "coordination/ownership/Ownership.h"

#include <nlohmann/json.hpp>

namespace carawaypond::daemon {

namespace {

constexpr std::size_t ShownOwners = 3;

const char *wireNameOf(VmState State) {
  switch (State) {
  case VmState::Live:
    return "live";
  case VmState::Suspect:
    return "suspect";
  case VmState::Leaving:
    return "leaving";
  case VmState::Gone:
    return "gone";
  }
  return "gone";
}

const char *wireNameOf(VmPhase Phase) {
  switch (Phase) {
  case VmPhase::Starting:
    return "starting";
  case VmPhase::Serving:
    return "serving";
  case VmPhase::Leaving:
  case VmPhase::Closing:
  case VmPhase::Done:
    return "leaving";
  }
  return "starting";
}

nlohmann::json toJson(const VmRecord &Vm) {
  return {{"name", Vm.Name.value()},
          {"incarnation", Vm.IncarnationNumber.value()},
          {"data_centre", Vm.Centre.value()},
          {"state", wireNameOf(Vm.State)},
          {"callers", Vm.CallerAddress},
          {"operators", Vm.OperatorAddress},
          {"peers", Vm.PeerAddress}};
}

} // namespace

nlohmann::json OperatorViews::live() const {
  return {
      {"state", wireNameOf(m_State.Core.stop().phase())},
      {"vm", m_State.Core.members().self().Name.value()},
      {"incarnation", m_State.Core.members().self().IncarnationNumber.value()}};
}

nlohmann::json OperatorViews::vms() const {
  nlohmann::json Rows =
      nlohmann::json::array({toJson(m_State.Core.members().self())});
  for (const VmRecord &Vm : m_State.Core.members().others())
    Rows.push_back(toJson(Vm));
  return {{"vms", std::move(Rows)}};
}

nlohmann::json OperatorViews::ownership(const std::string &Service) const {
  ConfigRegistry::Entry Stored =
      m_State.Core.configs().find(ServiceName(Service));
  if (!Stored)
    return nullptr;
  IndexRegistry::Entry Index = m_State.Indexes.find(Stored->Content.Index);
  if (!Index)
    return nullptr;
  std::vector<VmName> Live = m_State.Core.members().liveVms();
  nlohmann::json Rows = nlohmann::json::array();
  for (const IndexLayout &Layout : Index->Layouts) {
    for (const ShardReplicas &Shard : Layout.Shards) {
      OwnershipKey Key{.Service = ServiceName(Service), .Shard = Shard.Shard};
      nlohmann::json Owners = nlohmann::json::array();
      for (const VmName &Vm : ownersOf(Key, Live, ShownOwners))
        Owners.push_back(Vm.value());
      nlohmann::json Replicas = nlohmann::json::array();
      for (const ServerName &Server : Shard.Replicas)
        Replicas.push_back(Server.value());
      Rows.push_back({{"layout", Layout.Layout},
                      {"shard", Shard.Shard.value()},
                      {"owner", Owners.empty() ? "" : Owners.front()},
                      {"next", std::move(Owners)},
                      {"replicas", std::move(Replicas)}});
    }
  }
  return {{"service", Service}, {"ownership", std::move(Rows)}};
}

nlohmann::json OperatorViews::backends(const std::string &Service) const {
  nlohmann::json Rows = nlohmann::json::array();
  TimePoint Now = monotonicNow();
  for (const ConfigRegistry::Entry &Stored :
       m_State.Core.configs().services()) {
    const std::string &Name = Stored->Content.Name.value();
    IndexRegistry::Entry Index = m_State.Indexes.find(Stored->Content.Index);
    if (!Index || (!Service.empty() && Service != Name))
      continue;
    for (const ServerInfo &Server : Index->Servers)
      Rows.push_back(
          {{"service", Name},
           {"name", Server.Name.value()},
           {"address", Server.Address},
           {"data_centre", Server.Centre.value()},
           {"slots", Server.Slots},
           {"connections", Server.Connections},
           {"state",
            m_State.Core.drains().isDraining(Server.Name, Now) || Server.Leaving
                ? "leaving"
                : "serving"}});
  }
  return {{"backends", std::move(Rows)}};
}

nlohmann::json OperatorViews::drains() const {
  nlohmann::json Rows = nlohmann::json::array();
  for (const ServerName &Server :
       m_State.Core.drains().draining(monotonicNow()))
    Rows.push_back({{"server", Server.value()}, {"leaving", true}});
  return {{"drains", std::move(Rows)}};
}

} // namespace carawaypond::daemon
