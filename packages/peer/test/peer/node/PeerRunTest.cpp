#include "NodeFixture.h"

#include <algorithm>

using namespace carawaypond;
using namespace carawaypond::peer;

TEST_CASE("results arrive one by one and out of order") {
  Observed Seen;
  TestNode Owner("vm-2", 5);
  TestNode Coordinator("vm-1", 3);
  Coordinator.Node->run(Owner.address(), Incarnation(5), makeBatch(1, 3),
                        Seen.observer());
  TakenRun Taken = Owner.Runs.take();
  CHECK(Taken.From.Vm == VmName("vm-1"));
  CHECK(Taken.From.Life == Incarnation(3));
  REQUIRE(Taken.Batch.size() == 3);

  for (std::size_t I : {2, 0, 1}) {
    PeerResult Sent = answerTo(Taken.Batch[I]);
    Taken.Sink(Sent);
    CHECK(Seen.Results.take() == Sent);
  }
}

TEST_CASE("a subrequest's second result is dropped") {
  Observed Seen;
  TestNode Owner("vm-2");
  TestNode Coordinator("vm-1");
  Coordinator.Node->run(Owner.address(), Incarnation(1), makeBatch(1, 2),
                        Seen.observer());
  TakenRun Taken = Owner.Runs.take();
  Taken.Sink(answerTo(Taken.Batch[0]));
  Taken.Sink(answerTo(Taken.Batch[0]));
  Taken.Sink(answerTo(Taken.Batch[1]));
  CHECK(Seen.Results.take().Id == SubrequestId(1));
  CHECK(Seen.Results.take().Id == SubrequestId(2));
  CHECK(Owner.Node->stats().ResultsUnexpected == 1);
}

TEST_CASE("a cancel reaches the owner, whose result still comes") {
  Observed Seen;
  TestNode Owner("vm-2");
  TestNode Coordinator("vm-1");
  Coordinator.Node->run(Owner.address(), Incarnation(1), makeBatch(1, 1),
                        Seen.observer());
  TakenRun Taken = Owner.Runs.take();
  Coordinator.Node->cancel(Owner.address(), {SubrequestId(1)});
  CHECK(Owner.Cancels.take() == std::vector{SubrequestId(1)});

  PeerResult Cancelled{.Id = SubrequestId(1), .Outcome = PeerOutcome::NotRun};
  Cancelled.Reason = "cancelled";
  Taken.Sink(Cancelled);
  CHECK(Seen.Results.take() == Cancelled);
}

TEST_CASE("what an owner has not answered when it dies is in doubt") {
  Observed Seen;
  auto Owner = std::make_unique<TestNode>("vm-2");
  TestNode Coordinator("vm-1");
  Coordinator.Node->run(Owner->address(), Incarnation(1), makeBatch(1, 2),
                        Seen.observer());
  TakenRun Taken = Owner->Runs.take();
  Taken.Sink(answerTo(Taken.Batch[0]));
  CHECK(Seen.Results.take().Id == SubrequestId(1));

  Owner.reset();
  Loss Lost = Seen.Losses.take();
  CHECK(Lost.Reason.Code == ErrorCode::ConnectionLost);
  CHECK(Lost.Ids == std::vector{SubrequestId(2)});
}

TEST_CASE("an owner hears that its coordinator is gone") {
  Observed Seen;
  TestNode Owner("vm-2");
  auto Coordinator = std::make_unique<TestNode>("vm-1");
  Coordinator->Node->run(Owner.address(), Incarnation(1), makeBatch(7, 1),
                         Seen.observer());
  TakenRun Taken = Owner.Runs.take();
  Coordinator.reset();
  CHECK(Owner.Cancels.take() == std::vector{SubrequestId(7)});
  CHECK(Seen.Losses.take().Reason.Code == ErrorCode::ConnectionLost);
  Taken.Sink(answerTo(Taken.Batch[0]));
}

TEST_CASE("nothing was sent to an owner that never listened") {
  Observed Seen;
  std::string Closed = TestNode("vm-2").address();
  TestNode Coordinator("vm-1");
  Coordinator.Node->run(Closed, Incarnation(1), makeBatch(1, 2),
                        Seen.observer());
  Loss Lost = Seen.Losses.take();
  CHECK(Lost.Reason.Code == ErrorCode::NotConnected);
  CHECK(Lost.Ids.size() == 2);
}

TEST_CASE("another incarnation at the owner's address takes nothing") {
  Observed Seen;
  TestNode Owner("vm-2", 6);
  TestNode Coordinator("vm-1");
  Coordinator.Node->run(Owner.address(), Incarnation(5), makeBatch(1, 1),
                        Seen.observer());
  CHECK(Seen.Losses.take().Reason.Code == ErrorCode::NotConnected);
  CHECK(Coordinator.Node->stats().StaleIncarnations == 1);
  CHECK(Coordinator.Node->stats().SubrequestsSent == 0);
}

TEST_CASE("a silent exchange puts the peer's subrequests in doubt") {
  Observed Seen;
  Mailbox<Result<Digest>> Replies;
  TestNode Owner("vm-2");
  TestNode Coordinator("vm-1");
  Coordinator.Node->run(Owner.address(), Incarnation(1), makeBatch(1, 1),
                        Seen.observer());
  Owner.Runs.take();
  Digest Unanswered = markedDigest(SilentMark);
  Coordinator.Node->exchange(
      Owner.address(), Unanswered,
      [&Replies](auto Reply) { Replies.put(std::move(Reply)); }, Short);
  CHECK(Replies.take().error().Code == ErrorCode::TimedOut);
  CHECK(Seen.Losses.take().Reason.Code == ErrorCode::ConnectionLost);
}

TEST_CASE("a former incarnation is refused while its successor is connected") {
  Mailbox<Result<Digest>> Replies;
  Observed Seen;
  TestNode Owner("vm-2");
  TestNode Successor("vm-1", 9);
  TestNode Former("vm-1", 8);
  auto OnReply = [&Replies](auto Reply) { Replies.put(std::move(Reply)); };
  Successor.Node->exchange(Owner.address(), markedDigest(1), OnReply, Generous);
  CHECK(Replies.take().value().ConfigFingerprint == 1);

  Former.Node->run(Owner.address(), Incarnation(1), makeBatch(1, 1),
                   Seen.observer());
  CHECK(Seen.Losses.take().Reason.Code == ErrorCode::NotConnected);
  CHECK(Owner.Node->stats().StaleIncarnations == 1);
}

TEST_CASE("a successor's hello ends its predecessor's connection") {
  Observed Seen;
  Observed SeenLater;
  TestNode Owner("vm-2");
  TestNode Former("vm-1", 8);
  TestNode Successor("vm-1", 9);
  Former.Node->run(Owner.address(), Incarnation(1), makeBatch(1, 1),
                   Seen.observer());
  Owner.Runs.take();
  Successor.Node->run(Owner.address(), Incarnation(1), makeBatch(1, 1),
                      SeenLater.observer());
  CHECK(Seen.Losses.take().Reason.Code == ErrorCode::ConnectionLost);
  CHECK(Owner.Runs.take().From.Life == Incarnation(9));
}

TEST_CASE("a silent owner's subrequests time out past their deadline") {
  Observed Seen;
  TestNode Owner("vm-2");
  PeerOptions Options;
  Options.ResultGrace = Milliseconds(10);
  TestNode Coordinator("vm-1", 1, Options);
  Coordinator.Node->run(Owner.address(), Incarnation(1), makeBatch(1, 1, 50),
                        Seen.observer());
  CHECK(Seen.Losses.take().Reason.Code == ErrorCode::TimedOut);
}

TEST_CASE("more subrequests than the limit are refused unsent") {
  Observed Seen;
  TestNode Owner("vm-2");
  PeerOptions Options;
  Options.MaxOutstandingSubrequests = 4;
  TestNode Coordinator("vm-1", 1, Options);
  Coordinator.Node->run(Owner.address(), Incarnation(1), makeBatch(1, 4),
                        Seen.observer());
  Coordinator.Node->run(Owner.address(), Incarnation(1), makeBatch(5, 1),
                        Seen.observer());
  Loss Lost = Seen.Losses.take();
  CHECK(Lost.Reason.Code == ErrorCode::NotConnected);
  CHECK(Lost.Ids == std::vector{SubrequestId(5)});
}

TEST_CASE("an owner that is full refuses, and runs nothing of it") {
  Observed Seen;
  PeerOptions Options;
  Options.MaxOutstandingSubrequests = 4;
  TestNode Owner("vm-2", 1, Options);
  TestNode Coordinator("vm-1");
  Coordinator.Node->run(Owner.address(), Incarnation(1), makeBatch(1, 5),
                        Seen.observer());
  CHECK(Seen.Losses.take().Reason.Code == ErrorCode::Unavailable);
  CHECK(Owner.Node->stats().CallsRefused == 1);
}

TEST_CASE("a batch above the size limit is refused unsent") {
  Observed Seen;
  PeerOptions Options;
  Options.MaxMessageBytes = 4096;
  TestNode Owner("vm-2");
  TestNode Coordinator("vm-1", 1, Options);
  Coordinator.Node->run(Owner.address(), Incarnation(1), makeBatch(1, 64),
                        Seen.observer());
  CHECK(Seen.Losses.take().Reason.Code == ErrorCode::TooLarge);
}
