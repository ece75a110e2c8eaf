#pragma once

#include "core/id/StoreRevision.h"
#include "core/id/StrongId.h"

#include <cstdint>
#include <string>

namespace carawaypond {

/// @brief A search front with its own callers, shards and limits.
using ServiceName = StrongId<struct ServiceNameTag, std::string>;
/// @brief A class of callers within a service.
using ClassName = StrongId<struct ClassNameTag, std::string>;
/// @brief A customer whose callers share keys and limits.
using WorkspaceName = StrongId<struct WorkspaceNameTag, std::string>;
/// @brief A VM of the query tier, by its name in the VM list.
using VmName = StrongId<struct VmNameTag, std::string>;
/// @brief A data centre, such as "umea-a".
using DataCentre = StrongId<struct DataCentreTag, std::string>;
/// @brief A backend server, unique within the deployment.
using ServerName = StrongId<struct ServerNameTag, std::string>;
/// @brief A shard of a service's index.
using ShardId = StrongId<struct ShardIdTag, std::uint32_t>;
/// @brief A version of a service's index; greater is newer.
using IndexVersion = StrongId<struct IndexVersionTag, std::uint64_t>;
/// @brief The number of a service's configuration; greater is newer.
using ConfigVersion = StrongId<struct ConfigVersionTag, std::uint64_t>;
/// @brief One run of a VM's daemon. Each restart has a greater incarnation,
/// unless the VM's clock jumped back.
using Incarnation = StrongId<struct IncarnationTag, std::uint64_t>;
/// @brief One submission by an operator; the operator's tool assigns it.
using SubmissionId = StrongId<struct SubmissionIdTag, std::string>;
/// @brief One query within its coordinator's incarnation.
using QueryId = StrongId<struct QueryIdTag, std::uint64_t>;
/// @brief One connection within the pool of its backend server.
using ConnectionNumber = StrongId<struct ConnectionNumberTag, std::uint64_t>;
/// @brief One attempt at one shard; unique within a VM's incarnation.
using SubrequestId = StrongId<struct SubrequestIdTag, std::uint64_t>;

} // namespace carawaypond
