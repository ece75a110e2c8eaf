#include "platform/VmRegistry.h"

#include "coordination/model/JsonReader.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace carawaypond::standins {

const VmRegistry::Vms &VmRegistry::published(TimePoint Now) {
  while (!m_Pending.empty() && m_Pending.front().Due <= Now) {
    m_Published = std::move(m_Pending.front().List);
    m_Pending.pop_front();
  }
  return m_Published;
}

void VmRegistry::replace(Vms Current, TimePoint Now) {
  m_Current = std::move(Current);
  publishLater(Now);
}

bool VmRegistry::setLeaving(const std::string &Name, bool Leaving,
                            TimePoint Now) {
  auto Found = m_Current.find(Name);
  if (Found == m_Current.end())
    return false;
  Found->second.Leaving = Leaving;
  publishLater(Now);
  return true;
}

bool VmRegistry::remove(const std::string &Name, TimePoint Now) {
  if (m_Current.erase(Name) == 0)
    return false;
  publishLater(Now);
  return true;
}

void VmRegistry::publishLater(TimePoint Now) {
  TimePoint Due = Now + m_Lag;
  if (!m_Pending.empty())
    Due = std::max(Due, m_Pending.back().Due);
  m_Pending.push_back({.Due = Due, .List = m_Current});
}

Result<VmRegistry::Vms> parseVms(const nlohmann::json &Value) {
  JsonReader Reader(Value, "");
  VmRegistry::Vms List;
  const nlohmann::json &Array = Reader.array("vms");
  for (std::size_t I = 0; I < Array.size(); ++I) {
    JsonReader Item(Array[I], "/vms/" + std::to_string(I));
    VmEntry Vm{.Name = Item.string("name"),
               .Centre = Item.string("data_centre"),
               .Address = Item.string("address")};
    std::string State = Item.has("state") ? Item.string("state") : "live";
    if (State != "live" && State != "leaving")
      Item.fail("state", "must be \"live\" or \"leaving\"");
    Vm.Leaving = State == "leaving";
    Reader.adopt(Item);
    std::string Name = Vm.Name;
    List.insert_or_assign(std::move(Name), std::move(Vm));
  }
  if (Reader.error())
    return boost::outcome_v2::failure(*Reader.error());
  return List;
}

nlohmann::json toJson(const VmRegistry::Vms &List) {
  nlohmann::json Array = nlohmann::json::array();
  for (const auto &[Name, Vm] : List)
    Array.push_back({{"name", Vm.Name},
                     {"data_centre", Vm.Centre},
                     {"address", Vm.Address},
                     {"state", Vm.Leaving ? "leaving" : "live"}});
  return {{"vms", std::move(Array)}};
}

} // namespace carawaypond::standins
