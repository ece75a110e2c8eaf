#include "peer/codec/DigestCodec.h"

#include "peer/codec/Bytes.h"
#include "peer/codec/RangeCodec.h"

#include <utility>
#include <vector>

namespace carawaypond::peer {

namespace {

wire::VmState toWire(VmState State) {
  switch (State) {
  case VmState::Live:
    return wire::VmState::LIVE;
  case VmState::Suspect:
    return wire::VmState::SUSPECT;
  case VmState::Leaving:
    return wire::VmState::LEAVING;
  case VmState::Gone:
    return wire::VmState::GONE;
  }
  return wire::VmState::SUSPECT;
}

VmState fromWire(wire::VmState State) {
  switch (State) {
  case wire::VmState::LIVE:
    return VmState::Live;
  case wire::VmState::SUSPECT:
    return VmState::Suspect;
  case wire::VmState::LEAVING:
    return VmState::Leaving;
  case wire::VmState::GONE:
    return VmState::Gone;
  }
  return VmState::Suspect;
}

void write(const VmRecord &Vm, wire::VmRecord::Builder Out) {
  wire::Identity::Builder Identity = Out.initIdentity();
  Identity.setVm(toText(Vm.Name.value()));
  Identity.setIncarnation(Vm.IncarnationNumber.value());
  Out.setCentre(toText(Vm.Centre.value()));
  Out.setPeerAddress(toText(Vm.PeerAddress));
  Out.setCallerAddress(toText(Vm.CallerAddress));
  Out.setOperatorAddress(toText(Vm.OperatorAddress));
  Out.setState(toWire(Vm.State));
  Out.setCounter(Vm.Counter);
  Out.setAgeMillis(Vm.AgeMillis);
}

VmRecord read(wire::VmRecord::Reader In) {
  wire::Identity::Reader Identity = In.getIdentity();
  return {.Name = VmName(toString(Identity.getVm())),
          .IncarnationNumber = Incarnation(Identity.getIncarnation()),
          .Centre = DataCentre(toString(In.getCentre())),
          .PeerAddress = toString(In.getPeerAddress()),
          .CallerAddress = toString(In.getCallerAddress()),
          .OperatorAddress = toString(In.getOperatorAddress()),
          .State = fromWire(In.getState()),
          .Counter = In.getCounter(),
          .AgeMillis = In.getAgeMillis()};
}

void write(const CentreHeard &Centre, wire::CentreHeard::Builder Out) {
  Out.setCentre(toText(Centre.Centre.value()));
  Out.setHeard(Centre.Heard);
  Out.setAgeMillis(Centre.AgeMillis);
}

CentreHeard read(wire::CentreHeard::Reader In) {
  return {.Centre = DataCentre(toString(In.getCentre())),
          .Heard = In.getHeard(),
          .AgeMillis = In.getAgeMillis()};
}

void write(const HeldConfigVersion &Config, wire::Held::Builder Out) {
  Out.setName(toText(Config.Service.value()));
  Out.setVersion(Config.Version.value());
}

void write(const HeldIndexVersion &Index, wire::Held::Builder Out) {
  Out.setName(toText(Index.Name));
  Out.setVersion(Index.ObjectVersion);
}

HeldConfigVersion readConfig(wire::Held::Reader In) {
  return {.Service = ServiceName(toString(In.getName())),
          .Version = ConfigVersion(In.getVersion())};
}

HeldIndexVersion readIndex(wire::Held::Reader In) {
  return {.Name = toString(In.getName()), .ObjectVersion = In.getVersion()};
}

void write(const DrainSign &Sign, wire::DrainSign::Builder Out) {
  Out.setServer(toText(Sign.Server.value()));
  Out.setOrigin(toText(Sign.Origin.value()));
  Out.setSequence(Sign.Sequence);
  Out.setAgeMillis(Sign.AgeMillis);
  Out.setLeaving(Sign.Leaving);
}

DrainSign read(wire::DrainSign::Reader In) {
  return {.Server = ServerName(toString(In.getServer())),
          .Origin = VmName(toString(In.getOrigin())),
          .Sequence = In.getSequence(),
          .AgeMillis = In.getAgeMillis(),
          .Leaving = In.getLeaving()};
}

void write(const ServiceReplicaVersions &Held,
           wire::ReplicaVersions::Builder Out) {
  const ReplicaVersions &Replica = Held.Replica;
  Out.setService(toText(Held.Service.value()));
  Out.setServer(toText(Replica.Server.value()));
  Out.setShard(Replica.Shard.value());
  writeRanges(Replica.Ranges,
              Out.initRanges(static_cast<capnp::uint>(Replica.Ranges.size())));
}

ServiceReplicaVersions read(wire::ReplicaVersions::Reader In) {
  return {.Service = ServiceName(toString(In.getService())),
          .Replica = {.Server = ServerName(toString(In.getServer())),
                      .Shard = ShardId(In.getShard()),
                      .Ranges = readRanges(In.getRanges())}};
}

template <typename T, typename List>
void writeAll(const std::vector<T> &Items, List Out) {
  capnp::uint Next = 0;
  for (const T &Item : Items)
    write(Item, Out[Next++]);
}

template <typename T, typename List, typename ReadItem>
void readAll(List In, std::vector<T> &Out, ReadItem Read) {
  Out.reserve(In.size());
  for (auto Item : In)
    Out.push_back(Read(Item));
}

template <typename T> capnp::uint sizeOf(const std::vector<T> &Items) {
  return static_cast<capnp::uint>(Items.size());
}

} // namespace

void writeDigest(const Digest &Digest, wire::Digest::Builder Out) {
  write(Digest.Sender, Out.initSender());
  writeAll(Digest.Vms, Out.initVms(sizeOf(Digest.Vms)));
  writeAll(Digest.Centres, Out.initCentres(sizeOf(Digest.Centres)));
  writeAll(Digest.Configs, Out.initConfigs(sizeOf(Digest.Configs)));
  Out.setConfigCount(Digest.ConfigCount);
  Out.setConfigFingerprint(Digest.ConfigFingerprint);
  writeAll(Digest.Drains, Out.initDrains(sizeOf(Digest.Drains)));
  writeAll(Digest.Indexes, Out.initIndexes(sizeOf(Digest.Indexes)));
  writeAll(Digest.Versions, Out.initVersions(sizeOf(Digest.Versions)));
  Out.setStoreReachable(Digest.StoreReachable);
  Out.setStoreAgeMillis(Digest.StoreAgeMillis);
  Out.setServeMillis(Digest.ServeMillis);
  Out.setInformed(Digest.Informed);
  Out.setAwakeMillis(Digest.AwakeMillis);
}

Digest readDigest(wire::Digest::Reader In) {
  auto ReadItem = [](auto Item) { return read(Item); };
  Digest Result;
  Result.Sender = read(In.getSender());
  readAll(In.getVms(), Result.Vms, ReadItem);
  readAll(In.getCentres(), Result.Centres, ReadItem);
  readAll(In.getConfigs(), Result.Configs, readConfig);
  Result.ConfigCount = In.getConfigCount();
  Result.ConfigFingerprint = In.getConfigFingerprint();
  readAll(In.getDrains(), Result.Drains, ReadItem);
  readAll(In.getIndexes(), Result.Indexes, readIndex);
  readAll(In.getVersions(), Result.Versions, ReadItem);
  Result.StoreReachable = In.getStoreReachable();
  Result.StoreAgeMillis = In.getStoreAgeMillis();
  Result.ServeMillis = In.getServeMillis();
  Result.Informed = In.getInformed();
  Result.AwakeMillis = In.getAwakeMillis();
  return Result;
}

} // namespace carawaypond::peer
