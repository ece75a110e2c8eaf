#include "coordination/configuration/SubmissionPlan.h"

#include "coordination/internal/Mutant.h"
#include "core/invariant/Invariant.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace carawaypond {

namespace {

template <typename... Fs> struct Overloaded : Fs... {
  using Fs::operator()...;
};
template <typename... Fs> Overloaded(Fs...) -> Overloaded<Fs...>;

ConfigVersion versionOf(const std::optional<StoredObject> &Found) {
  return Found ? Found->Value.Version : ConfigVersion();
}

bool exists(const std::optional<StoredObject> &Found) {
  return Found && !Found->Value.Deleted;
}

/// @return The version that the change is based on, nullopt for a creation.
std::optional<ConfigVersion> statedVersion(const Submission &Wanted) {
  return std::visit(
      Overloaded{
          [](const CreateService &) { return std::optional<ConfigVersion>(); },
          [](const auto &Change) { return std::optional(Change.Version); }},
      Wanted.Change);
}

/// @return Whether the history contains every submission after @p From.
bool reachesBack(const StoredService &Stored, ConfigVersion From) {
  return !Stored.History.empty() &&
         Stored.History.front().Version.value() <= From.value() + 1;
}

Result<nlohmann::json> parseJson(const std::string &Text) {
  nlohmann::json Value = nlohmann::json::parse(Text, nullptr, false);
  if (Value.is_discarded())
    return failure(ErrorCode::InvalidInput, "the body is not valid JSON");
  return Value;
}

Result<ServiceConfig> makeContent(const CreateService &Create,
                                  const ServiceConfig *) {
  Result<nlohmann::json> Content = parseJson(Create.ContentJson);
  if (!Content)
    return boost::outcome_v2::failure(Content.error());
  return parseServiceConfig(Content.value());
}

Result<ServiceConfig> makeContent(const PatchService &Change,
                                  const ServiceConfig *Old) {
  Result<nlohmann::json> Patch = parseJson(Change.PatchJson);
  if (!Patch)
    return boost::outcome_v2::failure(Patch.error());
  nlohmann::json Content = toJson(*Old);
  Content.merge_patch(Patch.value());
  return parseServiceConfig(Content);
}

Result<ServiceConfig> makeContent(const DeleteService &,
                                  const ServiceConfig *Old) {
  return *Old;
}

} // namespace

std::optional<ConfigVersion> findSubmission(const StoredService &Stored,
                                            const SubmissionId &Id) {
  for (const AppliedSubmission &Applied : Stored.History)
    if (Applied.Submission == Id)
      return Applied.Version;
  return std::nullopt;
}

SubmissionPlan::SubmissionPlan(Submission Wanted, TimePoint Deadline)
    : m_Wanted(std::move(Wanted)), m_Deadline(Deadline) {}

SubmissionAction SubmissionPlan::start() const {
  return ReadObject{.Service = m_Wanted.Service};
}

SubmissionAction SubmissionPlan::readBack() const {
  return ReadObject{.Service = m_Wanted.Service, .After = RetryDelay};
}

SubmissionAction
SubmissionPlan::onRead(const Result<std::optional<StoredObject>> &Found,
                       TimePoint Now) {
  CARAWAYPOND_INVARIANT(!m_Finished, "a finished submission got an answer");
  if (Found)
    return decide(Found.value(), Now);
  if (Now < m_Deadline && m_Writes > 0 &&
      Found.error().Code != ErrorCode::Malformed)
    return readBack();
  return finish(SubmissionUnknown{.Message = "the store did not answer: " +
                                             Found.error().Message});
}

SubmissionAction SubmissionPlan::onWrite(WriteResult Answer, TimePoint Now) {
  CARAWAYPOND_INVARIANT(!m_Finished, "a finished submission got an answer");
  CARAWAYPOND_INVARIANT(m_Writes > 0, "answer to a write that was not sent");
  if (Answer == WriteResult::Written)
    return finish(SubmissionAccepted{.Version = m_Written});
  if (internal::isMutant(internal::Mutant::SkipReadBack))
    return finish(SubmissionStale{.Current = m_Written});
  if (Now < m_Deadline)
    return Answer == WriteResult::ConditionFailed ? start() : readBack();
  return finish(SubmissionUnknown{
      .Message = "the store's answer to the write was lost, and the deadline "
                 "has passed"});
}

SubmissionAction
SubmissionPlan::decide(const std::optional<StoredObject> &Found,
                       TimePoint Now) {
  if (Found)
    if (auto Version = findSubmission(Found->Value, m_Wanted.Id))
      return finish(SubmissionAccepted{.Version = *Version});
  std::optional<ConfigVersion> Stated = statedVersion(m_Wanted);
  ConfigVersion Current = versionOf(Found);
  bool IsStale = Stated ? Current != *Stated : exists(Found);
  bool MayHaveApplied =
      Found && !reachesBack(Found->Value, Stated.value_or(ConfigVersion()));
  if (IsStale && MayHaveApplied)
    return finish(SubmissionUnknown{
        .Message = "the service is at version " +
                   std::to_string(Current.value()) +
                   ", and its history does not reach back to this submission; "
                   "read the service and submit the change anew"});
  if (Stated && !Found)
    return finish(SubmissionNotFound{});
  if (IsStale)
    return finish(SubmissionStale{.Current = Current});
  if (Stated && !exists(Found))
    return finish(SubmissionNotFound{});
  return write(Found, Now);
}

SubmissionAction SubmissionPlan::write(const std::optional<StoredObject> &Found,
                                       TimePoint Now) {
  Result<StoredService> Next = makeNext(Found);
  if (!Next)
    return finish(SubmissionInvalid{.Message = Next.error().Message});
  if (m_Writes >= MaxWrites || (m_Writes > 0 && Now >= m_Deadline))
    return finish(SubmissionUnknown{.Message = "the store answered none of " +
                                               std::to_string(m_Writes) +
                                               " writes"});
  ++m_Writes;
  m_Written = Next.value().Version;
  std::optional<std::uint64_t> Condition;
  if (Found)
    Condition = Found->ObjectVersion;
  return WriteObject{.Value = std::move(Next.value()), .IfVersion = Condition};
}

Result<StoredService>
SubmissionPlan::makeNext(const std::optional<StoredObject> &Found) const {
  const ServiceConfig *Old = Found ? &Found->Value.Content : nullptr;
  Result<ServiceConfig> Content =
      std::visit([Old](const auto &Change) { return makeContent(Change, Old); },
                 m_Wanted.Change);
  if (!Content)
    return boost::outcome_v2::failure(Content.error());
  if (Content.value().Name != m_Wanted.Service)
    return failure(ErrorCode::InvalidInput,
                   "/name: \"" + Content.value().Name.value() +
                       "\" must be \"" + m_Wanted.Service.value() +
                       "\"; a service can't be renamed");
  StoredService Next;
  Next.Version = ConfigVersion(versionOf(Found).value() + 1);
  Next.Submission = m_Wanted.Id;
  Next.Deleted = std::holds_alternative<DeleteService>(m_Wanted.Change);
  Next.Content = std::move(Content.value());
  if (Found)
    Next.History = Found->Value.History;
  Next.History.push_back(
      {.Version = Next.Version, .Submission = Next.Submission});
  if (Next.History.size() > MaxSubmissionHistory)
    Next.History.erase(Next.History.begin());
  CARAWAYPOND_INVARIANT(Next.Version > versionOf(Found),
                        "a configuration's version must increase");
  return Next;
}

SubmissionAction SubmissionPlan::finish(SubmissionOutcome Outcome) {
  m_Finished = true;
  return FinishSubmission{.Outcome = std::move(Outcome)};
}

} // namespace carawaypond
