#include "gateway/app/ComponentOptions.h"

#include "coordination/budget/TokenBucket.h"
#include "coordination/revocation/ConfigProof.h"

#include <algorithm>
#include <random>

namespace carawaypond::gateway {

namespace {

/// All answers of replicas may use 1/ReplyMemoryDivisor of the memory together,
/// and the body of a single answer 1/ReplyMemoryDivisor of that.
constexpr std::size_t ReplyMemoryDivisor = 4;
/// All requests of callers may use 1/RequestMemoryDivisor of the memory.
constexpr std::size_t RequestMemoryDivisor = 8;
/// A replica entry expires after three missed heartbeats. The first of them may
/// already have passed when the store is lost, so two are counted here.
constexpr int HeartbeatsToExpiry = 2;
/// Missed heartbeats after which a replica's entry expires.
constexpr int MissedHeartbeats = 3;
/// How long the directory may list a silent VM beyond the stability window.
constexpr Milliseconds DirectorySlack{3'000};
/// How long a VM reads the store itself after its reader failed, where VMs that
/// the store turns away follow others: by then heartbeats name a new reader.
constexpr Milliseconds ReaderRetryDelayIfLost{1'500};
/// File descriptors reserved for connections to replicas, peers and the store.
constexpr std::size_t ReservedDescriptors = 1'024;

/// @return A random number from 0 to 1.
double randomPart() {
  std::random_device Source;
  return std::uniform_real_distribution<double>()(Source);
}

/// @return The part of a cold replica's rate at which a second of it, with the
/// tokens kept before, stays within the bound.
double warmupRateRatio(const adapter::WarmupBounds &Bounds) {
  return std::min(1.0, Bounds.Factor / (1 + TokenBucket::BurstSeconds));
}

/// @brief Sets how replicas are chosen.
void setBalance(PlacementOptions &Placement, LoadBalance Balance) {
  if (Balance == LoadBalance::LeastCost)
    return;
  Placement.Shares = ShareBoundOptions{
      .SpansCentres = Balance == LoadBalance::BoundedShareAcross};
  Placement.RotationSeed = std::random_device{}();
}

} // namespace

TrafficOptions trafficOptions(const adapter::SiteSettings &Settings,
                              const GatewayOptions &Own,
                              Incarnation IncarnationNumber) {
  TrafficOptions Options;
  Options.Vm = Settings.Vm;
  Options.IncarnationNumber = IncarnationNumber;
  Options.CallerAddress = Settings.CallerAddress;
  Options.MaxCallers = Settings.MaxDescriptors > 2 * ReservedDescriptors
                           ? Settings.MaxDescriptors - ReservedDescriptors
                           : Settings.MaxDescriptors / 2;
  Options.MaxRequestMemory = Settings.MemoryBytes / RequestMemoryDivisor;
  Options.Pool.MaxReplyMemory = Settings.MemoryBytes / ReplyMemoryDivisor;
  Options.Pool.MaxBodyBytes = Options.Pool.MaxReplyMemory / ReplyMemoryDivisor;
  Options.RevocationBound = Settings.RevocationBound;
  Options.Placement.Centre = Settings.Centre;
  Options.Placement.Budget = Settings.Budget;
  Options.Placement.StartedAt = monotonicNow();
  Options.Placement.LimitPhase = randomPart();
  Options.Placement.Epoch =
      toMonotonic({}, Options.Placement.StartedAt, wallNow());
  Options.Placement.WarmupRateRatio = warmupRateRatio(Settings.Warmup);
  setBalance(Options.Placement, Own.Balance);
  Options.Placement.Vm = Settings.Vm;
  if (Own.ReportsSlowReplicas)
    Options.Placement.Reports = SlowReportOptions{};
  return Options;
}

QuotaOptions quotaOptions(const adapter::SiteSettings &Settings) {
  QuotaOptions Options;
  if (!Settings.Quota)
    return Options;
  Options.Window = Settings.Quota->Window;
  Options.Overage = Settings.Quota->Overage;
  Options.Slack = Settings.Quota->Slack;
  return Options;
}

FollowOptions followOptions(const adapter::SiteSettings &Settings) {
  Milliseconds Apply = std::min(Settings.DrainBound, Settings.ConfigBound);
  Apply = std::min(Apply, Settings.EvacuationBound.value_or(Apply));
  return FollowOptions::within(
      {.Apply = Apply,
       .HeartbeatInterval = Settings.ReplicaHeartbeat,
       .ProofLifetime = ConfigProof(Settings.RevocationBound).lifetime()});
}

StoreReaderSelectorOptions
readerOptions(const adapter::SiteSettings &Settings) {
  StoreReaderSelectorOptions Options;
  if (!Settings.RevocationBound)
    return Options;
  // A VM without a proof of its configuration refuses callers with keys.
  Options.FollowsOthersIfLost = true;
  Options.ReaderRetryDelay = ReaderRetryDelayIfLost;
  return Options;
}

FollowOptions configFollowOptions(const FollowOptions &Follow) {
  FollowOptions Options = Follow;
  Options.WatchWait = Follow.ProofWait;
  Options.AnswerPause = std::min(Follow.AnswerPause, Follow.ProofWait);
  return Options;
}

ReplicaRegistryOptions registryOptions(const adapter::SiteSettings &Settings) {
  return {.CopyExpiry = Settings.ReplicaHeartbeat * MissedHeartbeats,
          .MinOutage = Settings.ReplicaHeartbeat * HeartbeatsToExpiry};
}

VmTrackerOptions vmOptions(const adapter::SiteSettings &Settings) {
  return {.ListLimit = Settings.StabilityWindow + DirectorySlack};
}

ControlServerOptions serverOptions(const adapter::SiteSettings &Settings,
                                   Incarnation IncarnationNumber) {
  return {.ReadyAddress = Settings.ReadyAddress,
          .DirectoryAddress = Settings.DirectoryAddress,
          .PeerAddress = Settings.PeerAddress,
          .MetricsAddress =
              Settings.Ip + ":" + std::to_string(Settings.LastInternalPort),
          .AddressLifetime =
              std::min(AddressLifetime, Settings.MaxAddressLifetime),
          .IncarnationNumber = IncarnationNumber};
}

} // namespace carawaypond::gateway
