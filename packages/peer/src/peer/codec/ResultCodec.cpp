#include "peer/codec/ResultCodec.h"

#include "peer/codec/Bytes.h"
#include "peer/codec/RangeCodec.h"

#include <algorithm>
#include <utility>

namespace carawaypond::peer {

namespace {

/// Encoded size of a result without its variable-length fields; includes
/// pointers and padding.
constexpr std::size_t ResultOverheadBytes = 128;

wire::Outcome toWire(PeerOutcome Outcome) {
  switch (Outcome) {
  case PeerOutcome::Answered:
    return wire::Outcome::ANSWERED;
  case PeerOutcome::NotRun:
    return wire::Outcome::NOT_RUN;
  case PeerOutcome::InDoubt:
    return wire::Outcome::IN_DOUBT;
  case PeerOutcome::VersionGone:
    return wire::Outcome::VERSION_GONE;
  }
  return wire::Outcome::IN_DOUBT;
}

PeerOutcome fromWire(wire::Outcome Outcome) {
  switch (Outcome) {
  case wire::Outcome::ANSWERED:
    return PeerOutcome::Answered;
  case wire::Outcome::NOT_RUN:
    return PeerOutcome::NotRun;
  case wire::Outcome::IN_DOUBT:
    return PeerOutcome::InDoubt;
  case wire::Outcome::VERSION_GONE:
    return PeerOutcome::VersionGone;
  }
  return PeerOutcome::InDoubt;
}

using std::chrono::microseconds;

/// Longer waits are clamped to this value, on writing and on reading.
constexpr microseconds MaxWait = std::chrono::seconds(30);

std::uint64_t toMicros(Duration Wait) {
  Duration Bounded = std::clamp<Duration>(Wait, Duration::zero(), MaxWait);
  return std::chrono::duration_cast<microseconds>(Bounded).count();
}

Duration fromMicros(std::uint64_t Micros) {
  return microseconds(std::min<std::uint64_t>(Micros, MaxWait.count()));
}

} // namespace

void writeResult(const PeerResult &Result,
                 wire::SubrequestResult::Builder Out) {
  Out.setId(Result.Id.value());
  Out.setOutcome(toWire(Result.Outcome));
  Out.setVersion(Result.Version.value());
  Out.setLayout(Result.Layout);
  if (!Result.Payload.empty())
    Out.setPayload(toData(Result.Payload));
  if (!Result.Reason.empty())
    Out.setReason(toText(Result.Reason));
  if (!Result.Ranges.empty())
    writeRanges(Result.Ranges,
                Out.initRanges(static_cast<capnp::uint>(Result.Ranges.size())));
  if (Result.Server)
    Out.setServer(toText(Result.Server->value()));
  Out.setWaitMicros(toMicros(Result.Wait));
}

PeerResult readResult(wire::SubrequestResult::Reader In) {
  PeerResult Result{.Id = SubrequestId(In.getId()),
                    .Outcome = fromWire(In.getOutcome()),
                    .Version = IndexVersion(In.getVersion()),
                    .Layout = In.getLayout(),
                    .Payload = toString(In.getPayload()),
                    .Reason = toString(In.getReason()),
                    .Ranges = readRanges(In.getRanges()),
                    .Server = std::nullopt,
                    .Wait = fromMicros(In.getWaitMicros())};
  std::string Server = toString(In.getServer());
  if (!Server.empty())
    Result.Server = ServerName(std::move(Server));
  return Result;
}

std::size_t wireBytes(const PeerResult &Result) {
  std::size_t Bytes = ResultOverheadBytes;
  Bytes += Result.Payload.size();
  Bytes += Result.Reason.size();
  Bytes += Result.Ranges.size() * sizeof(VersionRange);
  if (Result.Server)
    Bytes += Result.Server->value().size();
  return Bytes;
}

} // namespace carawaypond::peer
