#include "coordination/check/ConfigCheck.h"

#include "coordination/check/Wording.h"

#include <algorithm>
#include <utility>

namespace carawaypond {

namespace {

bool hasWeight(const WeightedTarget &Target) {
  return std::any_of(
      Target.Services.begin(), Target.Services.end(),
      [](const WeightedService &Each) { return Each.Weight > 0; });
}

/// @return Whether a share below 1 is reached only if all shards succeed.
bool needsAllShards(const ShardSetTarget &Target) {
  auto Count = static_cast<double>(Target.Shards.size());
  return Count > 1 && Target.LeastShare < 1 &&
         (Count - 1) / Count < Target.LeastShare;
}

} // namespace

/// @brief Checks the target of the route at Entry.
struct TargetCheck {
  ConfigCheck &Self;
  std::size_t Entry;

  [[nodiscard]] ConfigPlace
  placeOf(ConfigField Field, std::optional<std::size_t> Item = {}) const {
    return {.Section = ConfigSection::Routes,
            .Entry = Entry,
            .Field = Field,
            .Item = Item};
  }

  void operator()(const SingleTarget &Target) const {
    Self.checkName(Target.Service, placeOf(ConfigField::Service));
  }
  void operator()(const WeightedTarget &Target) const {
    for (std::size_t I = 0; I < Target.Services.size(); ++I)
      Self.checkName(Target.Services[I].Service,
                     placeOf(ConfigField::Split, I));
    if (!hasWeight(Target))
      Self.add(Severity::Contradiction, placeOf(ConfigField::Split),
               "all weights are 0");
  }
  void operator()(const ShardSetTarget &Target) const {
    for (std::size_t I = 0; I < Target.Shards.size(); ++I)
      Self.checkName(Target.Shards[I], placeOf(ConfigField::Shards, I));
    if (needsAllShards(Target))
      Self.add(
          Severity::Contradiction, placeOf(ConfigField::LeastShare),
          joinText({"the minimum share is below 1, but only all ",
                    std::to_string(Target.Shards.size()), " shards reach it"}));
  }
};

ConfigCheck::ConfigCheck(const RoutingTable &Table) : m_Table(Table) {
  for (std::size_t I = 0; I < Table.routes().size(); ++I)
    checkRoute(I);
  checkServices();
  checkWorkspaces();
}

void ConfigCheck::checkRoute(std::size_t Entry) {
  const RequestRoute &Route = m_Table.routes()[Entry];
  TargetCheck Target{.Self = *this, .Entry = Entry};
  const RequestRoute *InForce = m_Table.findByPrefix(Route.Host, Route.Prefix);
  if (InForce != &Route)
    add(Severity::Error, Target.placeOf(ConfigField::Whole),
        joinText({"an earlier route has the same host and prefix: ",
                  describe(*InForce)}));
  if (!Route.Prefix.starts_with('/') || !Route.Prefix.ends_with('/'))
    add(Severity::Warning, Target.placeOf(ConfigField::Prefix),
        joinText({"never matches: the prefix must begin and end with a slash: ",
                  quoteText(Route.Prefix)}));
  if (Route.Objective > Route.Timeout)
    add(Severity::Contradiction, Target.placeOf(ConfigField::Objective),
        joinText({"the latency objective, ",
                  std::to_string(Route.Objective.count()),
                  " ms, is above the timeout, ",
                  std::to_string(Route.Timeout.count()), " ms"}));
  std::visit(Target, Route.Target);
}

void ConfigCheck::checkName(const ServiceName &Name, ConfigPlace Place) {
  m_NamedByRoutes.insert(Name);
  if (!m_Table.hasService(Name))
    add(Severity::Error, Place,
        joinText(
            {"no such service in the document: ", quoteText(Name.value())}));
}

void ConfigCheck::checkServices() {
  std::unordered_set<ServiceName> Seen;
  for (std::size_t I = 0; I < m_Table.services().size(); ++I) {
    const ServiceName &Name = m_Table.services()[I].Name;
    ConfigPlace Place{.Section = ConfigSection::Services, .Entry = I};
    if (!Seen.insert(Name).second)
      add(Severity::Contradiction, Place,
          joinText(
              {"replaces the limits of an earlier entry of ", describe(Name)}));
    else if (!m_NamedByRoutes.contains(Name))
      add(Severity::Warning, Place,
          joinText({"no route names ", describe(Name)}));
  }
}

void ConfigCheck::checkWorkspaces() {
  const WorkspaceTable &Table = m_Table.workspaces();
  for (const IgnoredKey &Each : Table.ignoredKeys())
    add(Severity::Error,
        {.Section = ConfigSection::Workspaces, .Entry = Each.Entry},
        joinText({describe(Each.Owner), ": ", Each.Why}));
  WorkspaceTable::KeyCounts Keys = Table.countKeysNotIn(WorkspaceTable());
  for (std::size_t I = 0; I < Table.workspaces().size(); ++I) {
    const Workspace &Checked = Table.workspaces()[I];
    std::size_t Entry = Table.entries()[I];
    if (!Keys.contains(Checked.Name))
      add(Severity::Warning,
          {.Section = ConfigSection::Workspaces,
           .Entry = Entry,
           .Field = ConfigField::Keys},
          joinText({"never matches: no key gives access to ",
                    describe(Checked.Name)}));
    checkQuota(Checked, Entry);
  }
}

void ConfigCheck::checkQuota(const Workspace &Checked, std::size_t Entry) {
  ConfigPlace Place{.Section = ConfigSection::Workspaces,
                    .Entry = Entry,
                    .Field = ConfigField::Burst};
  if (!Checked.hasQuota() && Checked.Burst > 0)
    add(Severity::Contradiction, Place,
        joinText({"a burst without a rate limits nothing: ",
                  describe(Checked.Name)}));
  if (Checked.hasQuota() && Checked.Burst < 1)
    add(Severity::Contradiction, Place,
        joinText({"the burst is below one request: ", describe(Checked.Name)}));
}

void ConfigCheck::add(Severity Level, ConfigPlace Place, std::string Message) {
  m_Findings.push_back(
      {.Level = Level, .Place = Place, .Message = std::move(Message)});
}

} // namespace carawaypond
