#include "FleetContent.h"

#include <string>

namespace carawaypond::bench {

namespace {

constexpr std::size_t ReplicasPerShard = 2;
constexpr std::uint64_t VersionsKept = 4;

std::string padded(std::size_t Number) {
  constexpr std::size_t Digits = 5;
  std::string Text = std::to_string(Number);
  return std::string(Digits - std::min(Digits, Text.size()), '0') + Text;
}

ServerName serverName(std::size_t Index, std::size_t Replica) {
  return ServerName("search-" + padded(Index) + "-" + std::to_string(Replica));
}

std::string serviceText(std::size_t Number) {
  return "caseworker-desk-" + padded(Number);
}

} // namespace

VmRecord makeVm(std::size_t Centre, std::size_t Number) {
  std::string Host =
      "10.0." + std::to_string(Centre) + "." + std::to_string(Number % 250);
  return {.Name = VmName("vm-" + padded(Centre) + "-" + padded(Number)),
          .IncarnationNumber = Incarnation(1764824400000000),
          .Centre = DataCentre("norrland-" + padded(Centre)),
          .PeerAddress = Host + ":7301",
          .CallerAddress = Host + ":7101",
          .OperatorAddress = Host + ":7201"};
}

StoredService makeService(std::size_t Number, std::uint64_t Version) {
  StoredService Stored;
  Stored.Version = ConfigVersion(Version);
  Stored.Submission = SubmissionId("operator-" + padded(Number));
  Stored.Content.Name = ServiceName(serviceText(Number));
  Stored.Content.Index = serviceText(Number);
  Stored.Content.Classes = {{.Name = ClassName("interactive"), .Share = 0.8},
                            {.Name = ClassName("sweep"),
                             .Share = 0.2,
                             .Deadline = Milliseconds(1000)}};
  for (std::size_t I = 0; I < MaxSubmissionHistory; ++I)
    Stored.History.push_back(
        {.Version = ConfigVersion(I + 1), .Submission = Stored.Submission});
  return Stored;
}

IndexObject makeIndex(std::size_t Number, std::size_t Replicas) {
  IndexObject Index;
  Index.Name = serviceText(Number);
  Index.ObjectVersion = 1;
  IndexLayout Layout{.Layout = 1, .FromVersion = IndexVersion(1)};
  for (std::size_t I = 0; I < Replicas; ++I) {
    Index.Servers.push_back({.Name = serverName(Number, I),
                             .Address = "10.1.1.1:" + std::to_string(I),
                             .Centre = DataCentre("norrland-00001"),
                             .Slots = 2,
                             .Connections = 25});
    if (I % ReplicasPerShard == 0)
      Layout.Shards.push_back(
          {.Shard = ShardId(static_cast<std::uint32_t>(I / ReplicasPerShard))});
    Layout.Shards.back().Replicas.push_back(serverName(Number, I));
  }
  Index.Layouts.push_back(std::move(Layout));
  return Index;
}

std::vector<ServiceReplicaVersions>
makeVersions(std::size_t Number, std::size_t Replicas, std::uint64_t Newest) {
  std::vector<ServiceReplicaVersions> Rows;
  for (std::size_t I = 0; I < Replicas; ++I) {
    ShardId Shard(static_cast<std::uint32_t>(I / ReplicasPerShard));
    VersionRange Range{.Layout = 1,
                       .Oldest = IndexVersion(Newest),
                       .Newest = IndexVersion(Newest + VersionsKept)};
    Rows.push_back({.Service = ServiceName(serviceText(Number)),
                    .Replica = {.Server = serverName(Number, I),
                                .Shard = Shard,
                                .Ranges = {Range}}});
  }
  return Rows;
}

} // namespace carawaypond::bench
