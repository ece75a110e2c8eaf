#include "backends/deployment/ServicePlan.h"

#include <algorithm>
#include <utility>

namespace carawaypond::standins {

namespace {

std::uint32_t groupsOf(const ServiceShape &Shape) {
  return (Shape.Shards + Shape.ShardsPerServer - 1) / Shape.ShardsPerServer;
}

std::string numbered(const std::string &Name, std::uint32_t Number) {
  std::string Digits = std::to_string(Number);
  return Name + (Digits.size() < 2 ? "-0" : "-") + Digits;
}

ServerName serverName(const std::string &Service, std::uint32_t Group,
                      std::uint32_t Replica) {
  return ServerName(Service + "-g" + std::to_string(Group) + "-r" +
                    std::to_string(Replica));
}

std::vector<ServerInfo> planServers(const Deployment &Plan,
                                    const ServiceShape &Shape,
                                    const std::string &Service,
                                    std::uint32_t Number) {
  std::vector<ServerInfo> Servers;
  for (std::uint32_t Group = 0; Group < groupsOf(Shape); ++Group)
    for (std::uint32_t Replica = 0; Replica < Shape.Replicas; ++Replica) {
      std::size_t Centre =
          (std::size_t(Number) + Group + Replica) % Plan.DataCentres.size();
      Servers.push_back({.Name = serverName(Service, Group, Replica),
                         .Address = {},
                         .Centre = Plan.DataCentres[Centre],
                         .Slots = Shape.Slots,
                         .Connections = Shape.Connections});
    }
  return Servers;
}

std::vector<ShardReplicas> planShards(const ServiceShape &Shape,
                                      const std::string &Service) {
  std::vector<ShardReplicas> Shards;
  for (std::uint32_t I = 0; I < Shape.Shards; ++I) {
    ShardReplicas Shard{.Shard = ShardId(I), .Replicas = {}};
    for (std::uint32_t Replica = 0; Replica < Shape.Replicas; ++Replica)
      Shard.Replicas.push_back(
          serverName(Service, I / Shape.ShardsPerServer, Replica));
    Shards.push_back(std::move(Shard));
  }
  return Shards;
}

ServicePlan planService(const Deployment &Plan, const ServiceShape &Shape,
                        const std::string &Service, std::uint32_t Number) {
  IndexObject Index;
  Index.Name = Service;
  Index.Servers = planServers(Plan, Shape, Service, Number);
  Index.Layouts.push_back({.Layout = 1,
                           .FromVersion = IndexVersion(Plan.Versions.First),
                           .Shards = planShards(Shape, Service)});
  return {.Shape = Shape, .Index = std::move(Index)};
}

} // namespace

std::vector<ServicePlan> planServices(const Deployment &Plan) {
  std::vector<ServicePlan> Services;
  for (const ServiceShape &Shape : Plan.Shapes) {
    if (Shape.Services == 0)
      Services.push_back(planService(Plan, Shape, Shape.Name, 0));
    for (std::uint32_t Number = 1; Number <= Shape.Services; ++Number)
      Services.push_back(
          planService(Plan, Shape, numbered(Shape.Name, Number), Number));
  }
  return Services;
}

std::vector<ShardReplicas> spreadShards(const std::vector<ServerInfo> &Servers,
                                        std::uint32_t Shards,
                                        std::uint32_t Replicas) {
  std::size_t Copies = std::min<std::size_t>(Replicas, Servers.size());
  std::vector<ShardReplicas> Spread;
  for (std::uint32_t I = 0; I < Shards; ++I) {
    ShardReplicas Shard{.Shard = ShardId(I), .Replicas = {}};
    for (std::size_t Copy = 0; Copy < Copies; ++Copy)
      Shard.Replicas.push_back(
          Servers[(I * Copies + Copy) % Servers.size()].Name);
    Spread.push_back(std::move(Shard));
  }
  return Spread;
}

} // namespace carawaypond::standins
