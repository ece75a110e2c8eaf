#include "coordination/addresses/ShardCentres.h"

#include <map>
#include <unordered_set>

namespace carawaypond {

namespace {

/// Minimum number of replicas in a data centre, as a fraction of the number in
/// the data centre with the most replicas.
constexpr double MinReplicaShare = 0.4;

std::unordered_set<ServiceName> shardsOf(std::string_view Host,
                                         const RoutingTable &Table) {
  std::unordered_set<ServiceName> Shards;
  for (const RequestRoute &Each : Table.routes()) {
    const auto *Set = std::get_if<ShardSetTarget>(&Each.Target);
    if (Set != nullptr && Each.Host == Host)
      Shards.insert(Set->Shards.begin(), Set->Shards.end());
  }
  return Shards;
}

} // namespace

std::set<DataCentre> shardCentres(std::string_view Host,
                                  const RoutingTable &Table,
                                  const ReplicaRegistry::Entries &Replicas) {
  std::unordered_set<ServiceName> Shards = shardsOf(Host, Table);
  std::map<DataCentre, double> Counts;
  double Most = 0;
  for (const auto &[Id, Known] : Replicas) {
    const ReplicaRecord &Each = Known.Record;
    bool IsServing = Each.State == ReplicaState::Serving;
    if (IsServing && Shards.contains(Each.Service))
      Most = std::max(Most, ++Counts[Each.Centre]);
  }
  std::set<DataCentre> Centres;
  for (const auto &[Centre, Count] : Counts)
    if (Count >= MinReplicaShare * Most)
      Centres.insert(Centre);
  return Centres;
}

} // namespace carawaypond
