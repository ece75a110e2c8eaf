#pragma once

#include "adapter/SiteSettings.h"
#include "coordination/fleet/StoreReaderSelector.h"
#include "coordination/fleet/VmTracker.h"
#include "coordination/quota/QuotaOptions.h"
#include "coordination/replicas/ReplicaRegistry.h"
#include "core/id/Ids.h"
#include "gateway/app/GatewayOptions.h"
#include "gateway/control/ControlServers.h"
#include "gateway/control/FollowOptions.h"
#include "gateway/traffic/TrafficOptions.h"

namespace carawaypond::gateway {

/// How long callers may cache an answer of the directory.
inline constexpr Milliseconds AddressLifetime{2'000};

/// @return The options of CallerService.
[[nodiscard]] TrafficOptions
trafficOptions(const adapter::SiteSettings &Settings, const GatewayOptions &Own,
               Incarnation IncarnationNumber);

/// @return The options of QuotaService; the defaults if there are no quotas.
[[nodiscard]] QuotaOptions quotaOptions(const adapter::SiteSettings &Settings);

/// @return How replicas and evacuations are followed in the store.
[[nodiscard]] FollowOptions
followOptions(const adapter::SiteSettings &Settings);

/// @return How the configuration is followed, whose proofs expire.
[[nodiscard]] FollowOptions configFollowOptions(const FollowOptions &Follow);

/// @return The options of StoreRole.
[[nodiscard]] StoreReaderSelectorOptions
readerOptions(const adapter::SiteSettings &Settings);

[[nodiscard]] ReplicaRegistryOptions
registryOptions(const adapter::SiteSettings &Settings);

[[nodiscard]] VmTrackerOptions vmOptions(const adapter::SiteSettings &Settings);

[[nodiscard]] ControlServerOptions
serverOptions(const adapter::SiteSettings &Settings,
              Incarnation IncarnationNumber);

} // namespace carawaypond::gateway
