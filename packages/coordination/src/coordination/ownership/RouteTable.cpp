#include "coordination/ownership/RouteTable.h"

#include <utility>

namespace carawaypond {

namespace {

/// @brief Lists the routes for one unit of ownership.
struct RouteLister {
  const RouteTableOptions &Options;
  const ServiceName &Service;
  const ShardReplicas &Shard;

  std::vector<Route> operator()(const OwnerOfShard & /*Unit*/) const {
    OwnershipKey Key{
        .Service = Service, .Shard = Shard.Shard, .Replica = std::nullopt};
    std::vector<Route> Routes;
    for (VmName &Vm : ownersOf(Key, Options.LiveVms, Options.Fallbacks + 1))
      Routes.push_back({.Vm = std::move(Vm), .Replica = std::nullopt});
    return Routes;
  }

  std::vector<Route> operator()(const OwnerOfReplica & /*Unit*/) const {
    std::vector<Route> Routes;
    for (std::size_t Rank = 0; Rank <= Options.Fallbacks; ++Rank)
      for (const ServerName &Replica : Shard.Replicas)
        appendRank(Routes, Replica, Rank);
    return Routes;
  }

  std::vector<Route> operator()(const DirectSending & /*Unit*/) const {
    return {Route{.Vm = Options.Self, .Replica = std::nullopt}};
  }

  void appendRank(std::vector<Route> &Routes, const ServerName &Replica,
                  std::size_t Rank) const {
    OwnershipKey Key{
        .Service = Service, .Shard = Shard.Shard, .Replica = Replica};
    OwnerOrder Owners = ownersOf(Key, Options.LiveVms, Rank + 1);
    if (Owners.size() > Rank)
      Routes.push_back({.Vm = Owners[Rank], .Replica = Replica});
  }
};

} // namespace

RouteTable::RouteTable(RouteTableOptions Options)
    : m_Options(std::move(Options)) {}

std::vector<Route> RouteTable::routesFor(const ServiceName &Service,
                                         const ShardReplicas &Shard) const {
  return std::visit(
      RouteLister{.Options = m_Options, .Service = Service, .Shard = Shard},
      m_Options.Unit);
}

bool RouteTable::ownedHere(const OwnershipKey &Key) const {
  OwnerOrder Owners = ownersOf(Key, m_Options.LiveVms, 1);
  return !Owners.empty() && Owners.front() == m_Options.Self;
}

} // namespace carawaypond
