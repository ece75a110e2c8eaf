#pragma once

#include "coordination/membership/VmRecord.h"
#include "coordination/model/IndexObject.h"
#include "core/id/Ids.h"

#include <cstdint>
#include <string>
#include <vector>

namespace carawaypond {

/// @brief The version of one service's configuration that the sender holds.
struct ConfigHeld {
  ServiceName Service;
  ConfigVersion Version;

  friend bool operator==(const ConfigHeld &, const ConfigHeld &) = default;
};

/// @brief One VM's observation that a backend server is leaving.
struct DrainSign {
  ServerName Server;
  VmName Origin;               ///< The VM that observed it.
  std::uint64_t Sequence = 0;  ///< Orders one origin's signs, across restarts.
  std::uint64_t AgeMillis = 0; ///< Time since the observation.
  bool Leaving = true;         ///< False withdraws the origin's earlier sign.

  friend bool operator==(const DrainSign &, const DrainSign &) = default;
};

/// @brief The version of one index object that the sender holds.
struct IndexHeld {
  std::string Name;
  std::uint64_t ObjectVersion = 0; ///< Version in the Object API.

  friend bool operator==(const IndexHeld &, const IndexHeld &) = default;
};

/// @brief The index versions that one replica of a service serves.
struct ServiceReplicaVersions {
  ServiceName Service;
  ReplicaVersions Replica;

  friend bool operator==(const ServiceReplicaVersions &,
                         const ServiceReplicaVersions &) = default;
};

/// @brief How many VMs of one data centre were heard, as known to the sender.
struct CentreHeard {
  DataCentre Centre;
  std::uint32_t Heard = 0;     ///< Informed VMs that answered one of its VMs.
  std::uint64_t AgeMillis = 0; ///< Upper bound of the time since all did.

  friend bool operator==(const CentreHeard &, const CentreHeard &) = default;
};

/// @brief What two VMs tell each other. An exchange is a request that carries
/// the caller's digest and a reply that carries the other's; only replies
/// count as evidence of recency, since they were made after the request left.
struct Digest {
  VmRecord Sender;
  std::vector<VmRecord> Vms; ///< Recent changes, and a rotating part.
  std::vector<CentreHeard> Centres;
  std::vector<ConfigHeld> Configs; ///< Recent changes, and a rotating part.
  std::uint64_t ConfigCount = 0;   ///< Configurations that the sender holds.
  std::uint64_t ConfigFingerprint = 0; ///< Over all of them.
  std::vector<DrainSign> Drains;
  std::vector<IndexHeld> Indexes;
  std::vector<ServiceReplicaVersions> Versions;
  bool StoreReachable = false;
  std::uint64_t StoreAgeMillis = 0; ///< Since the newest store read upstream.
  std::uint64_t ServeMillis = 0; ///< For how long the sender may still serve.
  std::uint64_t AwakeMillis = 0; ///< Since its start or its last pause ended.
  bool Informed = false; ///< Whether the sender ever might serve in this life.

  friend bool operator==(const Digest &, const Digest &) = default;
};

} // namespace carawaypond
