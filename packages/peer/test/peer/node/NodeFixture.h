#pragma once

#include "Mailbox.h"
#include "peer/peer.h"

#include <doctest/doctest.h>

#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace carawaypond::peer {

constexpr Duration GenerousTimeout = std::chrono::seconds(30);
constexpr Duration ShortTimeout = Milliseconds(300);
/// TestNode does not reply to a digest with this fingerprint.
constexpr std::uint64_t NoReplyFingerprint = 13;
constexpr std::int64_t FarDeadlineMillis = 60'000;

/// @brief A run received by a node, with the sink for its results.
struct ReceivedRun {
  PeerIdentity From;
  std::vector<PeerSubrequest> Batch;
  ResultSink Sink;
};

/// @brief Lost subrequests of a run, with the reason.
struct Loss {
  Error Reason;
  std::vector<SubrequestId> Ids;
};

/// @brief A node whose handlers put what they receive into mailboxes.
struct TestNode {
  Mailbox<ReceivedRun> Runs;
  Mailbox<Reply<Digest>> Unanswered;
  Mailbox<std::vector<SubrequestId>> Cancels;
  Mailbox<std::pair<PeerQuery, Reply<PeerQueryAnswer>>> Queries;
  std::unique_ptr<PeerNode> Node;

  explicit TestNode(const std::string &Name,
                    std::uint64_t IncarnationNumber = 1,
                    PeerOptions Options = {}) {
    Options.Self = {.Vm = VmName(Name),
                    .IncarnationNumber = Incarnation(IncarnationNumber)};
    if (Options.ListenAddress.empty())
      Options.ListenAddress = "127.0.0.1:0";
    Node = std::move(PeerNode::open(Options, handlers()).value());
  }
  ~TestNode() { Node.reset(); }

  [[nodiscard]] std::string address() const { return Node->address(); }

private:
  PeerHandlers handlers() {
    PeerHandlers Handlers;
    Handlers.OnExchange = [this](const PeerIdentity &From, const Digest &In,
                                 const Reply<Digest> &OnReply) {
      if (In.ConfigFingerprint == NoReplyFingerprint)
        return Unanswered.put(OnReply);
      Digest Answer = In;
      Answer.Sender.Name = From.Vm;
      OnReply(std::move(Answer));
    };
    Handlers.OnFetchServices = [](PeerHandlers::Names Names, auto OnReply) {
      std::vector<StoredObject> Objects;
      for (const std::string &Name : Names)
        Objects.push_back({.Name = Name, .Version = 7, .Json = "{}"});
      OnReply(std::move(Objects));
    };
    Handlers.OnRun = [this](const PeerIdentity &From, auto Batch, auto Sink) {
      Runs.put(
          {.From = From, .Batch = std::move(Batch), .Sink = std::move(Sink)});
    };
    Handlers.OnCancel = [this](const PeerIdentity &, const auto &Ids) {
      Cancels.put(Ids);
    };
    Handlers.OnQuery = [this](const PeerIdentity &, PeerQuery Query,
                              auto OnReply) {
      Queries.put({std::move(Query), std::move(OnReply)});
    };
    return Handlers;
  }
};

/// @brief Records what a coordinator's RunObserver reports. Must be declared
/// before the coordinator's node, whose destructor reports lost subrequests.
struct RunRecorder {
  Mailbox<PeerResult> Results;
  Mailbox<Loss> Losses;

  RunObserver observer() {
    return {.OnResult =
                [this](PeerResult Result) { Results.put(std::move(Result)); },
            .OnLost =
                [this](const Error &Reason, const auto &Ids) {
                  Losses.put({.Reason = Reason, .Ids = Ids});
                }};
  }
};

/// @brief Polls a condition. @return False if it does not hold within 30 s.
inline bool eventually(const std::function<bool()> &Holds) {
  TimePoint GiveUp = monotonicNow() + GenerousTimeout;
  while (!Holds()) {
    if (monotonicNow() > GiveUp)
      return false;
    std::this_thread::sleep_for(Milliseconds(1));
  }
  return true;
}

/// @brief Creates a digest that tests identify by its fingerprint @p Mark.
inline Digest digestWithFingerprint(std::uint64_t Mark) {
  Digest Made;
  Made.ConfigFingerprint = Mark;
  return Made;
}

inline std::vector<PeerSubrequest>
makeBatch(std::uint64_t FirstId, std::size_t Count,
          std::int64_t InMillis = FarDeadlineMillis) {
  auto Request = std::make_shared<const std::string>(R"({"match": "x"})");
  std::vector<PeerSubrequest> Batch;
  for (std::size_t I = 0; I < Count; ++I)
    Batch.push_back({.Id = SubrequestId(FirstId + I),
                     .Query = QueryId(1),
                     .Service = ServiceName("claims"),
                     .Class = ClassName("interactive"),
                     .Shard = ShardId(static_cast<std::uint32_t>(I)),
                     .Version = IndexVersion(41),
                     .Layout = 1,
                     .Deadline = {wallNow().Value + InMillis},
                     .Repeatable = true,
                     .Request = Request,
                     .Server = std::nullopt});
  return Batch;
}

inline PeerResult answerTo(const PeerSubrequest &Subrequest) {
  return {.Id = Subrequest.Id,
          .Outcome = PeerOutcome::Answered,
          .Version = Subrequest.Version,
          .Layout = Subrequest.Layout,
          .Payload = "{\"records\": []}",
          .Reason = "",
          .Ranges = {},
          .Server = ServerName("s-1")};
}

} // namespace carawaypond::peer
