#include "peer/codec/ResultCodec.h"
#include "peer/codec/SubrequestCodec.h"

#include <capnp/message.h>
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace carawaypond;
using namespace carawaypond::peer;

namespace {

std::string anyText() {
  return *rc::gen::container<std::string>(rc::gen::nonZero<char>());
}

std::string nonEmptyText() {
  return *rc::gen::nonEmpty(
      rc::gen::container<std::string>(rc::gen::nonZero<char>()));
}

std::optional<ServerName> anyServer() {
  if (*rc::gen::arbitrary<bool>())
    return ServerName(nonEmptyText());
  return std::nullopt;
}

PeerSubrequest
anySubrequest(const std::vector<std::shared_ptr<const std::string>> &Requests) {
  return {.Id = SubrequestId(*rc::gen::arbitrary<std::uint64_t>()),
          .Query = QueryId(*rc::gen::arbitrary<std::uint64_t>()),
          .Service = ServiceName(anyText()),
          .Class = ClassName(anyText()),
          .Shard = ShardId(*rc::gen::arbitrary<std::uint32_t>()),
          .Version = IndexVersion(*rc::gen::arbitrary<std::uint64_t>()),
          .Layout = *rc::gen::arbitrary<std::uint64_t>(),
          .Deadline = {*rc::gen::arbitrary<std::int64_t>()},
          .Repeatable = *rc::gen::arbitrary<bool>(),
          .Request = *rc::gen::elementOf(Requests),
          .Server = anyServer()};
}

PeerResult anyResult() {
  PeerResult Result{
      .Id = SubrequestId(*rc::gen::arbitrary<std::uint64_t>()),
      .Outcome =
          *rc::gen::element(PeerOutcome::Answered, PeerOutcome::NotRun,
                            PeerOutcome::InDoubt, PeerOutcome::VersionGone),
      .Version = IndexVersion(*rc::gen::arbitrary<std::uint64_t>()),
      .Layout = *rc::gen::arbitrary<std::uint64_t>(),
      .Payload = *rc::gen::arbitrary<std::string>(),
      .Reason = anyText(),
      .Ranges = {},
      .Server = anyServer(),
      .Wait = std::chrono::microseconds(*rc::gen::inRange(0, 30'000'000))};
  for (auto Layout : *rc::gen::arbitrary<std::vector<std::uint64_t>>())
    Result.Ranges.push_back({.Layout = Layout,
                             .Oldest = IndexVersion(Layout / 2),
                             .Newest = IndexVersion(Layout / 3)});
  return Result;
}

bool same(const PeerSubrequest &A, const PeerSubrequest &B) {
  return A.Id == B.Id && A.Query == B.Query && A.Service == B.Service &&
         A.Class == B.Class && A.Shard == B.Shard && A.Version == B.Version &&
         A.Layout == B.Layout && A.Deadline == B.Deadline &&
         A.Repeatable == B.Repeatable && *A.Request == *B.Request &&
         A.Server == B.Server;
}

} // namespace

TEST_CASE("a batch round-trips within its estimated size") {
  bool Held = rc::check([] {
    std::vector<std::shared_ptr<const std::string>> Requests;
    for (int I = 0; I < *rc::gen::inRange(1, 4); ++I)
      Requests.push_back(std::make_shared<const std::string>(anyText()));
    std::vector<PeerSubrequest> Batch;
    for (int I = 0; I < *rc::gen::inRange(1, 6); ++I)
      Batch.push_back(anySubrequest(Requests));

    capnp::MallocMessageBuilder Message;
    auto Root = Message.initRoot<wire::Batch>();
    writeBatch(Batch, Root);
    RC_ASSERT(Message.sizeInWords() * sizeof(capnp::word) <= wireBytes(Batch));
    auto Read = readBatch(Root.asReader());
    RC_ASSERT(Read.has_value());
    RC_ASSERT(Read.value().size() == Batch.size());
    for (std::size_t I = 0; I < Batch.size(); ++I)
      RC_ASSERT(same(Read.value()[I], Batch[I]));
  });
  CHECK(Held);
}

TEST_CASE("a result round-trips within its estimated size") {
  bool Held = rc::check([] {
    PeerResult Sent = anyResult();
    capnp::MallocMessageBuilder Message;
    auto Root = Message.initRoot<wire::SubrequestResult>();
    writeResult(Sent, Root);
    RC_ASSERT(Message.sizeInWords() * sizeof(capnp::word) <= wireBytes(Sent));
    RC_ASSERT(readResult(Root.asReader()) == Sent);
  });
  CHECK(Held);
}

TEST_CASE("a subrequest with an invalid request index is malformed") {
  capnp::MallocMessageBuilder Message;
  auto Root = Message.initRoot<wire::Batch>();
  Root.initSubrequests(1)[0].setId(3);
  auto Read = readBatch(Root.asReader());
  REQUIRE(!Read);
  CHECK(Read.error().Message ==
        "subrequest 3: request 0 is not among the batch's 0");
}
