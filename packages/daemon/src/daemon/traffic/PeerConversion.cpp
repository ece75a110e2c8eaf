#include "daemon/traffic/PeerConversion.h"

#include "coordination/subrequest/SubReason.h"

#include <algorithm>

namespace carawaypond::daemon {

using peer::PeerOutcome;
using peer::PeerResult;
using peer::PeerSubrequest;

namespace {

/// @brief Sets the fields of a result that depend on the outcome.
struct ResultWriter {
  PeerResult &Out;

  void operator()(const SubAnswered &Answered) const {
    Out.Outcome = PeerOutcome::Answered;
    Out.Version = Answered.Version;
    Out.Layout = Answered.Layout;
    Out.Payload = *Answered.Payload;
  }
  void operator()(const SubNotRun &NotRun) const {
    Out.Outcome = PeerOutcome::NotRun;
    Out.Reason = wireNameOf(NotRun.Reason);
  }
  void operator()(const SubInDoubt &InDoubt) const {
    Out.Outcome = PeerOutcome::InDoubt;
    Out.Reason = wireNameOf(InDoubt.Reason);
  }
  void operator()(const SubVersionGone &Gone) const {
    Out.Outcome = PeerOutcome::VersionGone;
    Out.Reason = wireNameOf(SubReason::VersionGone);
    if (Gone.Served.empty())
      return;
    Out.Server = Gone.Served.front().Server;
    Out.Ranges = Gone.Served.front().Ranges;
  }
};

SubVersionGone readVersionGone(const PeerResult &Result, ShardId Shard) {
  SubVersionGone Gone;
  if (Result.Server)
    Gone.Served.push_back(
        {.Server = *Result.Server, .Shard = Shard, .Ranges = Result.Ranges});
  return Gone;
}

} // namespace

PeerSubrequest toPeer(const Subrequest &Request, TimePoint Now,
                      WallMillis WallNow) {
  return {.Id = Request.Id,
          .Query = QueryId(Request.Id.value()),
          .Service = Request.Service,
          .Class = Request.Class,
          .Shard = Request.Shard,
          .Version = Request.Version,
          .Layout = Request.Layout,
          .Deadline = toWall(Request.Deadline, Now, WallNow),
          .Repeatable = Request.Repeatable,
          .Request = Request.Request,
          .Server = Request.Replica};
}

Subrequest fromPeer(const PeerSubrequest &Request, SubrequestId Id,
                    TimePoint Now, WallMillis WallNow) {
  return {.Id = Id,
          .Service = Request.Service,
          .Class = Request.Class,
          .Shard = Request.Shard,
          .Replica = Request.Server,
          .Version = Request.Version,
          .Layout = Request.Layout,
          .Deadline = toMonotonic(Request.Deadline, Now, WallNow),
          .Repeatable = Request.Repeatable,
          .Request = Request.Request};
}

PeerResult toPeer(SubrequestId Id, const SubOutcome &Outcome) {
  PeerResult Result{.Id = Id};
  std::visit(ResultWriter{Result}, Outcome);
  return Result;
}

SubOutcome fromPeer(const PeerResult &Result, ShardId Shard) {
  SubReason Reason = parseSubReason(Result.Reason).value_or(SubReason::Timeout);
  switch (Result.Outcome) {
  case PeerOutcome::Answered:
    return SubAnswered{.Version = Result.Version,
                       .Layout = Result.Layout,
                       .Payload =
                           std::make_shared<const std::string>(Result.Payload)};
  case PeerOutcome::NotRun:
    return SubNotRun{Reason};
  case PeerOutcome::InDoubt:
    return SubInDoubt{Reason};
  case PeerOutcome::VersionGone:
    return readVersionGone(Result, Shard);
  }
  return SubInDoubt{Reason};
}

} // namespace carawaypond::daemon
