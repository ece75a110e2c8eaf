#include "coordination/configuration/SubmissionPlan.h"

#include <doctest/doctest.h>

using namespace carawaypond;

namespace {

constexpr TimePoint Now{std::chrono::hours(1)};
constexpr TimePoint Deadline = Now + std::chrono::seconds(5);
const char *const Content = R"({"name": "claims", "index": "claims",
  "classes": [{"name": "interactive"}]})";

using Read = Result<std::optional<StoredObject>>;

Submission creation(const char *Text = Content) {
  return {.Id = SubmissionId("sub-1"),
          .Service = ServiceName("claims"),
          .Change = CreateService{.ContentJson = Text}};
}

Submission patch(std::uint64_t Version, const char *Patch) {
  return {.Id = SubmissionId("sub-2"),
          .Service = ServiceName("claims"),
          .Change = PatchService{.Version = ConfigVersion(Version),
                                 .PatchJson = Patch}};
}

StoredObject storedAfterCreation() {
  SubmissionPlan Plan(creation(), Deadline);
  SubmissionAction Write = Plan.onRead(Read(std::nullopt), Now);
  return {.ObjectVersion = 11, .Value = std::get<WriteObject>(Write).Value};
}

SubmissionOutcome outcomeOf(const SubmissionAction &Action) {
  REQUIRE(std::holds_alternative<FinishSubmission>(Action));
  return std::get<FinishSubmission>(Action).Outcome;
}

} // namespace

TEST_CASE("a creation writes version 1 of a service that does not exist") {
  SubmissionPlan Plan(creation(), Deadline);
  CHECK(std::holds_alternative<ReadObject>(Plan.start()));
  SubmissionAction Write = Plan.onRead(Read(std::nullopt), Now);
  REQUIRE(std::holds_alternative<WriteObject>(Write));
  CHECK(!std::get<WriteObject>(Write).IfVersion);
  CHECK(outcomeOf(Plan.onWrite(WriteResult::Written, Now)) ==
        SubmissionOutcome(SubmissionAccepted{.Version = ConfigVersion(1)}));
}

TEST_CASE("a patch is merged into the stated version by a conditional write") {
  SubmissionPlan Plan(patch(1, R"({"hedge_quantile": 0.9})"), Deadline);
  SubmissionAction Write = Plan.onRead(Read(storedAfterCreation()), Now);
  REQUIRE(std::holds_alternative<WriteObject>(Write));
  CHECK(std::get<WriteObject>(Write).IfVersion == 11);
  CHECK(std::get<WriteObject>(Write).Value.Content.HedgeQuantile == 0.9);
  CHECK(std::get<WriteObject>(Write).Value.Version == ConfigVersion(2));
}

TEST_CASE(
    "a stale patch and a creation of an existing service change nothing") {
  SubmissionPlan Stale(patch(4, "{}"), Deadline);
  CHECK(outcomeOf(Stale.onRead(Read(storedAfterCreation()), Now)) ==
        SubmissionOutcome(SubmissionStale{.Current = ConfigVersion(1)}));
  Submission Second = creation();
  Second.Id = SubmissionId("sub-9");
  SubmissionPlan Exists(Second, Deadline);
  CHECK(outcomeOf(Exists.onRead(Read(storedAfterCreation()), Now)) ==
        SubmissionOutcome(SubmissionStale{.Current = ConfigVersion(1)}));
}

TEST_CASE("invalid patches and renames of a service are rejected") {
  SubmissionPlan Wrong(patch(1, R"({"limits": 3})"), Deadline);
  CHECK(std::holds_alternative<SubmissionInvalid>(
      outcomeOf(Wrong.onRead(Read(storedAfterCreation()), Now))));
  SubmissionPlan Rename(patch(1, R"({"name": "other"})"), Deadline);
  CHECK(std::holds_alternative<SubmissionInvalid>(
      outcomeOf(Rename.onRead(Read(storedAfterCreation()), Now))));
  SubmissionPlan NoJson(patch(1, "{"), Deadline);
  CHECK(std::holds_alternative<SubmissionInvalid>(
      outcomeOf(NoJson.onRead(Read(storedAfterCreation()), Now))));
}

TEST_CASE("after a lost answer the submission is found by reading back") {
  SubmissionPlan Plan(creation(), Deadline);
  SubmissionAction Write = Plan.onRead(Read(std::nullopt), Now);
  CHECK(std::holds_alternative<ReadObject>(
      Plan.onWrite(WriteResult::InDoubt, Now)));
  CHECK(outcomeOf(Plan.onRead(Read(storedAfterCreation()), Now)) ==
        SubmissionOutcome(SubmissionAccepted{.Version = ConfigVersion(1)}));
}

TEST_CASE("a write in doubt after the deadline has an unknown outcome") {
  SubmissionPlan Plan(creation(), Deadline);
  SubmissionAction Write = Plan.onRead(Read(std::nullopt), Now);
  CHECK(std::holds_alternative<SubmissionUnknown>(
      outcomeOf(Plan.onWrite(WriteResult::InDoubt, Deadline))));
}

TEST_CASE(
    "a retry gets the same answer, or unknown if the history is too short") {
  SubmissionPlan Again(creation(), Deadline);
  CHECK(outcomeOf(Again.onRead(Read(storedAfterCreation()), Now)) ==
        SubmissionOutcome(SubmissionAccepted{.Version = ConfigVersion(1)}));
  StoredObject Later = storedAfterCreation();
  Later.Value.Version = ConfigVersion(90);
  Later.Value.History = {
      {.Version = ConfigVersion(59), .Submission = SubmissionId("sub-59")}};
  SubmissionPlan Old(patch(1, "{}"), Deadline);
  CHECK(std::holds_alternative<SubmissionUnknown>(
      outcomeOf(Old.onRead(Read(Later), Now))));
}

TEST_CASE("a deleted service can be created again with a higher version") {
  SubmissionPlan Delete({.Id = SubmissionId("sub-3"),
                         .Service = ServiceName("claims"),
                         .Change = DeleteService{.Version = ConfigVersion(1)}},
                        Deadline);
  SubmissionAction Write = Delete.onRead(Read(storedAfterCreation()), Now);
  StoredObject Deleted{.ObjectVersion = 12,
                       .Value = std::get<WriteObject>(Write).Value};
  CHECK(Deleted.Value.Deleted);
  Submission Again = creation();
  Again.Id = SubmissionId("sub-4");
  SubmissionPlan Create(Again, Deadline);
  SubmissionAction Next = Create.onRead(Read(Deleted), Now);
  REQUIRE(std::holds_alternative<WriteObject>(Next));
  CHECK(std::get<WriteObject>(Next).Value.Version == ConfigVersion(3));
  CHECK(!std::get<WriteObject>(Next).Value.Deleted);
}
