#include "coordination/routing/RoutingTable.h"

#include <algorithm>

namespace carawaypond {

namespace {

char lowered(char C) {
  bool IsUpper = C >= 'A' && C <= 'Z';
  return IsUpper ? static_cast<char>(C - 'A' + 'a') : C;
}

/// @return @p Host in lower case, without a port and without a final dot.
std::string normalizedHost(std::string_view Host) {
  Host = Host.substr(0, Host.find(':'));
  if (Host.ends_with('.'))
    Host.remove_suffix(1);
  std::string Normalized(Host);
  std::transform(Normalized.begin(), Normalized.end(), Normalized.begin(),
                 lowered);
  return Normalized;
}

bool anyPriority(const std::vector<RequestRoute> &Routes,
                 const WorkspaceTable &Workspaces) {
  const std::vector<Workspace> &Callers = Workspaces.workspaces();
  return std::any_of(Routes.begin(), Routes.end(),
                     [](const auto &Each) { return Each.Priority > 0; }) ||
         std::any_of(Callers.begin(), Callers.end(), [](const auto &Each) {
           return Each.Priority.value_or(0) > 0;
         });
}

/// @return A key under which no other host and prefix stand: neither holds a
/// line feed.
std::string keyOf(std::string_view Host, std::string_view Prefix) {
  return normalizedHost(Host).append("\n").append(Prefix);
}

} // namespace

RoutingTable::RoutingTable(ConfigVersion Version,
                           std::vector<RequestRoute> Routes, Services Limits,
                           CallerLimits Callers, WorkspaceTable Workspaces)
    : m_Version(Version), m_Routes(std::move(Routes)),
      m_Services(std::move(Limits)), m_Callers(Callers),
      m_Workspaces(std::move(Workspaces)),
      m_HasPriorities(anyPriority(m_Routes, m_Workspaces)) {
  for (const ConfiguredService &Each : m_Services)
    m_Limits.insert_or_assign(Each.Name, Each.Limits);
  for (std::size_t I = 0; I < m_Routes.size(); ++I)
    m_ByHostAndPrefix.emplace(keyOf(m_Routes[I].Host, m_Routes[I].Prefix), I);
}

ReplicaLimits RoutingTable::limits(const ServiceName &Service) const {
  auto Found = m_Limits.find(Service);
  return Found == m_Limits.end() ? ReplicaLimits{} : Found->second;
}

const RequestRoute *RoutingTable::find(std::string_view Host,
                                       std::string_view Path) const {
  std::string Key = keyOf(Host, "");
  std::size_t HostLength = Key.size();
  std::size_t Slash = Path.rfind('/');
  while (Slash != std::string_view::npos) {
    Key.resize(HostLength);
    Key += Path.substr(0, Slash + 1);
    auto Found = m_ByHostAndPrefix.find(Key);
    if (Found != m_ByHostAndPrefix.end())
      return &m_Routes[Found->second];
    if (Slash == 0)
      break;
    Slash = Path.rfind('/', Slash - 1);
  }
  return nullptr;
}

const RequestRoute *RoutingTable::findByPrefix(std::string_view Host,
                                               std::string_view Prefix) const {
  auto Found = m_ByHostAndPrefix.find(keyOf(Host, Prefix));
  return Found == m_ByHostAndPrefix.end() ? nullptr : &m_Routes[Found->second];
}

} // namespace carawaypond
