#include "NodeFixture.h"

#include <algorithm>

using namespace carawaypond;
using namespace carawaypond::peer;

TEST_CASE("results arrive one by one and out of order") {
  RunRecorder Seen;
  TestNode Owner("vm-2", 5);
  TestNode Coordinator("vm-1", 3);
  Coordinator.Node->run(Owner.address(), Incarnation(5), makeBatch(1, 3),
                        Seen.observer());
  ReceivedRun Taken = Owner.Runs.take();
  CHECK(Taken.From.Vm == VmName("vm-1"));
  CHECK(Taken.From.IncarnationNumber == Incarnation(3));
  REQUIRE(Taken.Batch.size() == 3);

  for (std::size_t I : {2, 0, 1}) {
    PeerResult Sent = answerTo(Taken.Batch[I]);
    Taken.Sink(Sent);
    CHECK(Seen.Results.take() == Sent);
  }
}

TEST_CASE("a subrequest's second result is dropped") {
  RunRecorder Seen;
  TestNode Owner("vm-2");
  TestNode Coordinator("vm-1");
  Coordinator.Node->run(Owner.address(), Incarnation(1), makeBatch(1, 2),
                        Seen.observer());
  ReceivedRun Taken = Owner.Runs.take();
  Taken.Sink(answerTo(Taken.Batch[0]));
  Taken.Sink(answerTo(Taken.Batch[0]));
  Taken.Sink(answerTo(Taken.Batch[1]));
  CHECK(Seen.Results.take().Id == SubrequestId(1));
  CHECK(Seen.Results.take().Id == SubrequestId(2));
  CHECK(Owner.Node->stats().ResultsUnexpected == 1);
}

TEST_CASE("a cancellation reaches the owner, whose result still arrives") {
  RunRecorder Seen;
  TestNode Owner("vm-2");
  TestNode Coordinator("vm-1");
  Coordinator.Node->run(Owner.address(), Incarnation(1), makeBatch(1, 1),
                        Seen.observer());
  ReceivedRun Taken = Owner.Runs.take();
  Coordinator.Node->cancel(Owner.address(), {SubrequestId(1)});
  CHECK(Owner.Cancels.take() == std::vector{SubrequestId(1)});

  PeerResult Cancelled{.Id = SubrequestId(1), .Outcome = PeerOutcome::NotRun};
  Cancelled.Reason = "cancelled";
  Taken.Sink(Cancelled);
  CHECK(Seen.Results.take() == Cancelled);
}

TEST_CASE("unanswered subrequests are lost when their owner stops") {
  RunRecorder Seen;
  auto Owner = std::make_unique<TestNode>("vm-2");
  TestNode Coordinator("vm-1");
  Coordinator.Node->run(Owner->address(), Incarnation(1), makeBatch(1, 2),
                        Seen.observer());
  ReceivedRun Taken = Owner->Runs.take();
  Taken.Sink(answerTo(Taken.Batch[0]));
  CHECK(Seen.Results.take().Id == SubrequestId(1));

  Owner.reset();
  Loss Lost = Seen.Losses.take();
  CHECK(Lost.Reason.Code == ErrorCode::ConnectionLost);
  CHECK(Lost.Ids == std::vector{SubrequestId(2)});
}

TEST_CASE("an owner gets a cancellation when its coordinator disconnects") {
  RunRecorder Seen;
  TestNode Owner("vm-2");
  auto Coordinator = std::make_unique<TestNode>("vm-1");
  Coordinator->Node->run(Owner.address(), Incarnation(1), makeBatch(7, 1),
                         Seen.observer());
  ReceivedRun Taken = Owner.Runs.take();
  Coordinator.reset();
  CHECK(Owner.Cancels.take() == std::vector{SubrequestId(7)});
  CHECK(Seen.Losses.take().Reason.Code == ErrorCode::ConnectionLost);
  Taken.Sink(answerTo(Taken.Batch[0]));
}

TEST_CASE("a run to a closed port fails with NotConnected") {
  RunRecorder Seen;
  std::string Closed = TestNode("vm-2").address();
  TestNode Coordinator("vm-1");
  Coordinator.Node->run(Closed, Incarnation(1), makeBatch(1, 2),
                        Seen.observer());
  Loss Lost = Seen.Losses.take();
  CHECK(Lost.Reason.Code == ErrorCode::NotConnected);
  CHECK(Lost.Ids.size() == 2);
}

TEST_CASE("no subrequest is sent to an unexpected incarnation of the owner") {
  RunRecorder Seen;
  TestNode Owner("vm-2", 6);
  TestNode Coordinator("vm-1");
  Coordinator.Node->run(Owner.address(), Incarnation(5), makeBatch(1, 1),
                        Seen.observer());
  CHECK(Seen.Losses.take().Reason.Code == ErrorCode::NotConnected);
  CHECK(Coordinator.Node->stats().StaleIncarnations == 1);
  CHECK(Coordinator.Node->stats().SubrequestsSent == 0);
}

TEST_CASE(
    "an exchange timeout fails the peer's subrequests with ConnectionLost") {
  RunRecorder Seen;
  Mailbox<Result<Digest>> Replies;
  TestNode Owner("vm-2");
  TestNode Coordinator("vm-1");
  Coordinator.Node->run(Owner.address(), Incarnation(1), makeBatch(1, 1),
                        Seen.observer());
  Owner.Runs.take();
  Digest Unanswered = digestWithFingerprint(NoReplyFingerprint);
  Coordinator.Node->exchange(
      Owner.address(), Unanswered,
      [&Replies](auto Reply) { Replies.put(std::move(Reply)); }, ShortTimeout);
  CHECK(Replies.take().error().Code == ErrorCode::TimedOut);
  CHECK(Seen.Losses.take().Reason.Code == ErrorCode::ConnectionLost);
}

TEST_CASE("a former incarnation is refused while a later one is connected") {
  Mailbox<Result<Digest>> Replies;
  RunRecorder Seen;
  TestNode Owner("vm-2");
  TestNode Successor("vm-1", 9);
  TestNode Former("vm-1", 8);
  auto OnReply = [&Replies](auto Reply) { Replies.put(std::move(Reply)); };
  Successor.Node->exchange(Owner.address(), digestWithFingerprint(1), OnReply,
                           GenerousTimeout);
  CHECK(Replies.take().value().ConfigFingerprint == 1);

  Former.Node->run(Owner.address(), Incarnation(1), makeBatch(1, 1),
                   Seen.observer());
  CHECK(Seen.Losses.take().Reason.Code == ErrorCode::NotConnected);
  CHECK(Owner.Node->stats().StaleIncarnations == 1);
}

TEST_CASE("the hello of a later incarnation closes the former's connection") {
  RunRecorder Seen;
  RunRecorder SeenLater;
  TestNode Owner("vm-2");
  TestNode Former("vm-1", 8);
  TestNode Successor("vm-1", 9);
  Former.Node->run(Owner.address(), Incarnation(1), makeBatch(1, 1),
                   Seen.observer());
  Owner.Runs.take();
  Successor.Node->run(Owner.address(), Incarnation(1), makeBatch(1, 1),
                      SeenLater.observer());
  CHECK(Seen.Losses.take().Reason.Code == ErrorCode::ConnectionLost);
  CHECK(Owner.Runs.take().From.IncarnationNumber == Incarnation(9));
}

TEST_CASE(
    "subrequests time out after their deadline if the owner sends no result") {
  RunRecorder Seen;
  TestNode Owner("vm-2");
  PeerOptions Options;
  Options.ResultGrace = Milliseconds(10);
  TestNode Coordinator("vm-1", 1, Options);
  Coordinator.Node->run(Owner.address(), Incarnation(1), makeBatch(1, 1, 50),
                        Seen.observer());
  CHECK(Seen.Losses.take().Reason.Code == ErrorCode::TimedOut);
}

TEST_CASE("subrequests above the limit are refused without being sent") {
  RunRecorder Seen;
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

TEST_CASE("an owner at its limit refuses the whole batch") {
  RunRecorder Seen;
  PeerOptions Options;
  Options.MaxOutstandingSubrequests = 4;
  TestNode Owner("vm-2", 1, Options);
  TestNode Coordinator("vm-1");
  Coordinator.Node->run(Owner.address(), Incarnation(1), makeBatch(1, 5),
                        Seen.observer());
  CHECK(Seen.Losses.take().Reason.Code == ErrorCode::Unavailable);
  CHECK(Owner.Node->stats().CallsRefused == 1);
}

TEST_CASE("a batch above the size limit is refused without being sent") {
  RunRecorder Seen;
  PeerOptions Options;
  Options.MaxMessageBytes = 4096;
  TestNode Owner("vm-2");
  TestNode Coordinator("vm-1", 1, Options);
  Coordinator.Node->run(Owner.address(), Incarnation(1), makeBatch(1, 64),
                        Seen.observer());
  CHECK(Seen.Losses.take().Reason.Code == ErrorCode::TooLarge);
}
