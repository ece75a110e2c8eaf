#pragma once

#include "coordination/membership/VmRecord.h"
#include "coordination/model/IndexObject.h"
#include "core/id/Ids.h"

#include <cstdint>
#include <string>
#include <vector>

namespace carawaypond {

/// @brief The version of one service's configuration that the sender holds.
struct HeldConfigVersion {
  ServiceName Service;
  ConfigVersion Version;

  friend bool operator==(const HeldConfigVersion &,
                         const HeldConfigVersion &) = default;
};

/// @brief One VM's observation of whether a backend server is leaving.
struct DrainSign {
  ServerName Server;
  VmName Origin;               ///< The VM that observed it.
  std::uint64_t Sequence = 0;  ///< Orders one origin's observations, also
                               ///< across its restarts.
  std::uint64_t AgeMillis = 0; ///< Time since the observation.
  bool Leaving = true;         ///< False revokes the origin's earlier one.

  friend bool operator==(const DrainSign &, const DrainSign &) = default;
};

/// @brief The version of one index object that the sender holds.
struct HeldIndexVersion {
  std::string Name;
  std::uint64_t ObjectVersion = 0; ///< Version in the Object API.

  friend bool operator==(const HeldIndexVersion &,
                         const HeldIndexVersion &) = default;
};

/// @brief The index versions that one replica of a service serves.
struct ServiceReplicaVersions {
  ServiceName Service;
  ReplicaVersions Replica;

  friend bool operator==(const ServiceReplicaVersions &,
                         const ServiceReplicaVersions &) = default;
};

/// @brief Number of VMs of one data centre that were heard, as known to the
/// sender.
struct CentreHeard {
  DataCentre Centre;
  std::uint32_t Heard = 0;     ///< Informed VMs that answered a VM of it.
  std::uint64_t AgeMillis = 0; ///< Upper bound of the time since they did.

  friend bool operator==(const CentreHeard &, const CentreHeard &) = default;
};

/// @brief The gossip message between two VMs. An exchange consists of a request
/// with the caller's digest and a reply with the callee's. Only a reply is
/// evidence of recency, because it was made after the request had been sent.
struct Digest {
  VmRecord Sender;
  std::vector<VmRecord> Vms; ///< Recent changes and a rotating subset.
  std::vector<CentreHeard> Centres;
  std::vector<HeldConfigVersion>
      Configs;                   ///< Recent changes and a rotating subset.
  std::uint64_t ConfigCount = 0; ///< Configurations that the sender holds.
  std::uint64_t ConfigFingerprint = 0; ///< Hash over all of them.
  std::vector<DrainSign> Drains;
  std::vector<HeldIndexVersion> Indexes;
  std::vector<ServiceReplicaVersions> Versions;
  bool StoreReachable = false;
  std::uint64_t StoreAgeMillis = 0; ///< Since the newest known store read.
  std::uint64_t ServeMillis = 0;    ///< How long the sender may still serve.
  std::uint64_t AwakeMillis = 0; ///< Since its start or its last pause ended.
  bool Informed = false; ///< Whether the sender counts towards a majority.

  friend bool operator==(const Digest &, const Digest &) = default;
};

} // namespace carawaypond
