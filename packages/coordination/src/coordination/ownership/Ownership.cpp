#include "coordination/ownership/Ownership.h"

#include <algorithm>
#include <string_view>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace carawaypond {

namespace {

struct RankedVm {
  std::uint64_t Weight = 0;
  const VmName *Vm = nullptr;
};

std::uint64_t hashText(std::string_view Text, std::uint64_t Seed) {
  return XXH3_64bits_withSeed(Text.data(), Text.size(), Seed);
}

std::uint64_t hashKey(const OwnershipKey &Key) {
  std::uint64_t Hash = hashText(Key.Service.value(), Key.Shard.value());
  if (Key.Replica)
    Hash = hashText(Key.Replica->value(), Hash);
  return Hash;
}

bool isRankedBefore(const RankedVm &Left, const RankedVm &Right) {
  if (Left.Weight != Right.Weight)
    return Left.Weight > Right.Weight;
  return *Left.Vm < *Right.Vm;
}

std::vector<RankedVm> rank(std::uint64_t KeyHash, std::span<const VmName> Vms) {
  std::vector<RankedVm> Ranked;
  Ranked.reserve(Vms.size());
  for (const VmName &Vm : Vms)
    Ranked.push_back({.Weight = hashText(Vm.value(), KeyHash), .Vm = &Vm});
  return Ranked;
}

} // namespace

OwnerOrder ownersOf(const OwnershipKey &Key, std::span<const VmName> Vms,
                    std::size_t Count) {
  std::vector<RankedVm> Ranked = rank(hashKey(Key), Vms);
  std::size_t Kept = std::min(Count, Ranked.size());
  std::partial_sort(Ranked.begin(),
                    Ranked.begin() + static_cast<std::ptrdiff_t>(Kept),
                    Ranked.end(), isRankedBefore);
  OwnerOrder Owners;
  Owners.reserve(Kept);
  for (std::size_t I = 0; I < Kept; ++I)
    Owners.push_back(*Ranked[I].Vm);
  return Owners;
}

std::uint32_t connectionCap(const ServerName &Server, std::uint32_t Limit,
                            const VmName &Self,
                            std::span<const VmName> MayConnect) {
  if (MayConnect.empty())
    return 0;
  if (MayConnect.size() <= Limit)
    return Limit / static_cast<std::uint32_t>(MayConnect.size());
  // With more VMs than connections, the first VMs in the order of owners for
  // this server get one connection each.
  OwnershipKey Key{
      .Service = ServiceName(), .Shard = ShardId(0), .Replica = Server};
  OwnerOrder Holders = ownersOf(Key, MayConnect, Limit);
  bool IsHolder =
      std::find(Holders.begin(), Holders.end(), Self) != Holders.end();
  return IsHolder ? 1 : 0;
}

} // namespace carawaypond
