#include "coordination/subrequest/SubReason.h"

#include <algorithm>
#include <array>
#include <utility>

namespace carawaypond {

namespace {

using ReasonWord = std::pair<SubReason, std::string_view>;

constexpr std::array<ReasonWord, 18> ReasonWords = {{
    {SubReason::Timeout, "timeout"},
    {SubReason::Deadline, "deadline"},
    {SubReason::Overloaded, "overloaded"},
    {SubReason::Shed, "shed"},
    {SubReason::Draining, "draining"},
    {SubReason::Cold, "cold"},
    {SubReason::Cancelled, "cancelled"},
    {SubReason::VersionGone, "version_gone"},
    {SubReason::VersionUnknown, "version_unknown"},
    {SubReason::WrongLayout, "wrong_layout"},
    {SubReason::ShardUnknown, "shard_unknown"},
    {SubReason::WrongVersion, "wrong_version"},
    {SubReason::Failed, "failed"},
    {SubReason::NotConnected, "not_connected"},
    {SubReason::ConnectionLost, "connection_lost"},
    {SubReason::NoReplica, "no_replica"},
    {SubReason::NoOwner, "no_owner"},
    {SubReason::NoSnapshot, "no_snapshot"},
}};

} // namespace

std::string_view wireNameOf(SubReason Reason) {
  const auto *Found =
      std::find_if(ReasonWords.begin(), ReasonWords.end(),
                   [&](const ReasonWord &W) { return W.first == Reason; });
  return Found == ReasonWords.end() ? "failed" : Found->second;
}

std::optional<SubReason> parseSubReason(std::string_view Word) {
  const auto *Found =
      std::find_if(ReasonWords.begin(), ReasonWords.end(),
                   [&](const ReasonWord &W) { return W.second == Word; });
  if (Found == ReasonWords.end())
    return std::nullopt;
  return Found->first;
}

bool isAboutVersion(SubReason Reason) {
  return Reason == SubReason::VersionGone ||
         Reason == SubReason::VersionUnknown ||
         Reason == SubReason::WrongLayout || Reason == SubReason::ShardUnknown;
}

} // namespace carawaypond
