#include "coordination/check/ConfigDifference.h"

#include "coordination/check/ChangeText.h"
#include "coordination/check/Wording.h"

#include <unordered_set>
#include <utility>

namespace carawaypond {

namespace {

ChangeText changesOf(const RequestRoute &Before, const RequestRoute &After) {
  ChangeText Changes;
  Changes.compare("name", Before.Name, After.Name);
  Changes.compare("kind", Before.Kind, After.Kind);
  Changes.compare("timeout", Before.Timeout, After.Timeout);
  Changes.compare("objective", Before.Objective, After.Objective);
  Changes.compare("priority", Before.Priority, After.Priority);
  Changes.compare("attempts", Before.MaxAttempts, After.MaxAttempts);
  Changes.compare("public", Before.IsPublic, After.IsPublic);
  Changes.compareTargets(Before.Target, After.Target);
  return Changes;
}

ChangeText changesOf(const ReplicaLimits &Before, const ReplicaLimits &After) {
  ChangeText Changes;
  Changes.compare("connections", Before.MaxConnections, After.MaxConnections);
  Changes.compare("warm-up time", Before.WarmupTime, After.WarmupTime);
  Changes.compare("warm-up rate", Before.WarmupRate, After.WarmupRate);
  return Changes;
}

ChangeText changesOf(const CallerLimits &Before, const CallerLimits &After) {
  ChangeText Changes;
  Changes.compare("header bytes", Before.MaxHeaderBytes, After.MaxHeaderBytes);
  Changes.compare("body bytes", Before.MaxBodyBytes, After.MaxBodyBytes);
  Changes.compare("header timeout", Before.HeaderTimeout, After.HeaderTimeout);
  Changes.compare("idle timeout", Before.IdleTimeout, After.IdleTimeout);
  return Changes;
}

ChangeText changesOf(const Workspace &Before, const Workspace &After) {
  ChangeText Changes;
  Changes.compare("priority", Before.Priority, After.Priority);
  Changes.compare("rate", Before.RequestRate, After.RequestRate);
  Changes.compare("burst", Before.Burst, After.Burst);
  return Changes;
}

std::size_t countOf(const WorkspaceTable::KeyCounts &Counts,
                    const WorkspaceName &Name) {
  auto Found = Counts.find(Name);
  return Found == Counts.end() ? 0 : Found->second;
}

/// @return Whether @p Route is the one in force for its host and prefix.
bool isInForce(const RoutingTable &Table, const RequestRoute &Route) {
  return Table.findByPrefix(Route.Host, Route.Prefix) == &Route;
}

} // namespace

ConfigDifference::ConfigDifference(const RoutingTable &InForce,
                                   const RoutingTable &New)
    : m_InForce(InForce), m_New(New) {
  compareVersions();
  compareRoutes();
  compareServices();
  compareLimits();
  compareWorkspaces();
}

void ConfigDifference::compareVersions() {
  if (m_New.version() > m_InForce.version())
    return;
  m_Findings.push_back(
      {.Level = Severity::Error,
       .Place = {.Field = ConfigField::Version},
       .Message = joinText({"version ", std::to_string(m_New.version().value()),
                            " is not greater than the one in force, ",
                            std::to_string(m_InForce.version().value())})});
}

void ConfigDifference::compareRoutes() {
  for (std::size_t I = 0; I < m_New.routes().size(); ++I) {
    const RequestRoute &After = m_New.routes()[I];
    if (!isInForce(m_New, After))
      continue;
    ConfigPlace Place{.Section = ConfigSection::Routes, .Entry = I};
    const RequestRoute *Before =
        m_InForce.findByPrefix(After.Host, After.Prefix);
    if (Before == nullptr)
      add(Place, joinText({"added: ", describe(After)}));
    else
      addChanged(Place, describe(After), changesOf(*Before, After).text());
  }
  for (const RequestRoute &Each : m_InForce.routes())
    if (isInForce(m_InForce, Each) &&
        m_New.findByPrefix(Each.Host, Each.Prefix) == nullptr)
      add({.Section = ConfigSection::Routes},
          joinText({"removed: ", describe(Each)}));
}

void ConfigDifference::compareServices() {
  std::unordered_set<ServiceName> Seen;
  for (std::size_t I = 0; I < m_New.services().size(); ++I) {
    const ServiceName &Name = m_New.services()[I].Name;
    if (!Seen.insert(Name).second)
      continue;
    ConfigPlace Place{.Section = ConfigSection::Services, .Entry = I};
    if (!m_InForce.hasService(Name))
      add(Place, joinText({"added: ", describe(Name)}));
    else
      addChanged(Place, describe(Name),
                 changesOf(m_InForce.limits(Name), m_New.limits(Name)).text());
  }
  for (const ConfiguredService &Each : m_InForce.services())
    if (Seen.insert(Each.Name).second)
      add({.Section = ConfigSection::Services},
          joinText({"removed: ", describe(Each.Name)}));
}

void ConfigDifference::compareLimits() {
  addChanged({.Section = ConfigSection::Limits}, "callers' limits",
             changesOf(m_InForce.callerLimits(), m_New.callerLimits()).text());
}

void ConfigDifference::compareWorkspaces() {
  const WorkspaceTable &Old = m_InForce.workspaces();
  const WorkspaceTable &New = m_New.workspaces();
  ChangeText Access;
  Access.compare("keys required", Old.areKeysRequired(), New.areKeysRequired());
  addChanged({.Section = ConfigSection::Workspaces}, "access", Access.text());
  WorkspaceTable::KeyCounts Added = New.countKeysNotIn(Old);
  WorkspaceTable::KeyCounts Removed = Old.countKeysNotIn(New);
  for (std::size_t I = 0; I < New.workspaces().size(); ++I) {
    const Workspace &After = New.workspaces()[I];
    ConfigPlace Place{.Section = ConfigSection::Workspaces,
                      .Entry = New.entries()[I]};
    const Workspace *Before = Old.find(After.Name);
    if (Before == nullptr) {
      add(Place, joinText({"added: ", describe(After.Name)}));
      continue;
    }
    ChangeText Changes = changesOf(*Before, After);
    Changes.compareCounts("keys", countOf(Added, After.Name),
                          countOf(Removed, After.Name));
    addChanged(Place, describe(After.Name), Changes.text());
  }
  for (const Workspace &Each : Old.workspaces())
    if (New.find(Each.Name) == nullptr)
      add({.Section = ConfigSection::Workspaces},
          joinText({"removed: ", describe(Each.Name)}));
}

void ConfigDifference::add(ConfigPlace Place, std::string Message) {
  m_Findings.push_back({.Level = Severity::Change,
                        .Place = Place,
                        .Message = std::move(Message)});
}

void ConfigDifference::addChanged(ConfigPlace Place, const std::string &What,
                                  const std::string &Changes) {
  if (!Changes.empty())
    add(Place, joinText({"changed: ", What, ": ", Changes}));
}

} // namespace carawaypond
