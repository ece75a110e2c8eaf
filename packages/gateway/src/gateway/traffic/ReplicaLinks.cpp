#include "gateway/traffic/ReplicaLinks.h"

#include "http/Endpoint.h"

#include <algorithm>
#include <unordered_set>

namespace carawaypond::gateway {

namespace {

/// Fraction of a replica's connection limit that all VMs together use. The rest
/// is reserved for connections that are closing and for VMs that start.
constexpr double UsedConnectionsRatio = 0.9;
constexpr std::size_t MaxConnections = 16; ///< From one VM to one replica.

std::size_t connectionLimit(std::size_t MaxOfReplica, double Share) {
  double Part =
      UsedConnectionsRatio * static_cast<double>(MaxOfReplica) * Share;
  return std::clamp<std::size_t>(static_cast<std::size_t>(Part), 1,
                                 MaxConnections);
}

} // namespace

std::shared_ptr<ReplicaPool> ReplicaLinks::find(const ServerName &Id) const {
  auto Found = m_Links.find(Id);
  return Found == m_Links.end() ? nullptr : Found->second.Pool;
}

void ReplicaLinks::apply(const TrafficView &View) {
  std::unordered_set<ServerName> Present;
  for (const ReplicaRecord &Each : View.Replicas) {
    Present.insert(Each.Id);
    Link &Known = m_Links[Each.Id];
    bool IsUnused = Each.State == ReplicaState::Leaving ||
                    View.Evacuated.contains(Each.Centre);
    if (Known.Address != Each.Address || IsUnused)
      retire(Known);
    auto Remote = http::parseEndpoint(Each.Address);
    bool NeedsPool = !Known.Pool || Known.Pool->isRetired();
    if (NeedsPool && !IsUnused && Remote) {
      Known.Address = Each.Address;
      Known.Pool = std::make_shared<ReplicaPool>(m_Context, Remote.value(),
                                                 m_Options, m_Memory);
    }
    if (Known.Pool && View.Table)
      Known.Pool->setLimit(connectionLimit(
          View.Table->limits(Each.Service).MaxConnections, View.Share));
  }
  std::erase_if(m_Links, [&](const auto &Each) {
    bool IsGone = !Present.contains(Each.first);
    if (IsGone)
      retire(Each.second);
    return IsGone;
  });
}

void ReplicaLinks::retire(const Link &Left) {
  if (Left.Pool && !Left.Pool->isRetired())
    Left.Pool->retire();
}

void ReplicaLinks::closeExpired(TimePoint Now) {
  for (auto &[Id, Each] : m_Links)
    if (Each.Pool)
      Each.Pool->closeExpired(Now);
}

} // namespace carawaypond::gateway
