#include "coordination/check/ChangeText.h"

#include "coordination/check/Wording.h"

#include <array>
#include <charconv>
#include <unordered_set>

namespace carawaypond {

namespace {

using Shards = std::vector<ServiceName>;

/// @return How many of @p Names are not in @p Others.
std::size_t countNotIn(const Shards &Names, const Shards &Others) {
  std::unordered_set<ServiceName> Known(Others.begin(), Others.end());
  std::size_t Count = 0;
  for (const ServiceName &Each : Names)
    Count += Known.contains(Each) ? 0 : 1;
  return Count;
}

} // namespace

struct TargetText {
  std::string operator()(const SingleTarget &Target) const {
    return quoteText(Target.Service.value());
  }
  std::string operator()(const WeightedTarget &Target) const {
    std::string Text;
    for (const WeightedService &Each : Target.Services)
      Text +=
          joinText({Text.empty() ? "" : ", ", quoteText(Each.Service.value()),
                    " ", ChangeText::show(Each.Weight)});
    return Text;
  }
  std::string operator()(const ShardSetTarget &Target) const {
    return std::to_string(Target.Shards.size()).append(" shards");
  }
};

void ChangeText::compareCounts(std::string_view Field, std::size_t Added,
                               std::size_t Removed) {
  if (Added == 0 && Removed == 0)
    return;
  add(joinText(
      {Field, " +", std::to_string(Added), " -", std::to_string(Removed)}));
}

void ChangeText::compareTargets(const RouteTarget &Before,
                                const RouteTarget &After) {
  const auto *Old = std::get_if<ShardSetTarget>(&Before);
  const auto *New = std::get_if<ShardSetTarget>(&After);
  if (Old != nullptr && New != nullptr)
    compareShards(*Old, *New);
  else
    compare("target", Before, After);
}

void ChangeText::compareShards(const ShardSetTarget &Before,
                               const ShardSetTarget &After) {
  std::size_t Added = countNotIn(After.Shards, Before.Shards);
  std::size_t Removed = countNotIn(Before.Shards, After.Shards);
  compareCounts("shards", Added, Removed);
  if (Added == 0 && Removed == 0 && Before.Shards != After.Shards)
    add("order or repetition of shards");
  compare("records", Before.TopRecords, After.TopRecords);
  compare("minimum share of shards", Before.LeastShare, After.LeastShare);
}

void ChangeText::add(std::string_view Change) {
  m_Text.append(m_Text.empty() ? "" : ", ").append(Change);
}

void ChangeText::addIfDifferent(std::string_view Field,
                                const std::string &Before,
                                const std::string &After) {
  if (Before != After)
    add(joinText({Field, " ", Before, " -> ", After}));
}

std::string ChangeText::show(const std::string &Text) {
  return quoteText(Text);
}

std::string ChangeText::show(std::uint64_t Number) {
  return std::to_string(Number);
}

std::string ChangeText::show(unsigned Number) { return std::to_string(Number); }

std::string ChangeText::show(double Number) {
  std::array<char, 32> Digits{}; // The shortest form of a double has up to 24.
  auto [End, Code] =
      std::to_chars(Digits.data(), Digits.data() + Digits.size(), Number);
  return {Digits.data(), End};
}

std::string ChangeText::show(bool Value) { return Value ? "yes" : "no"; }

std::string ChangeText::show(Milliseconds Time) {
  return std::to_string(Time.count()).append(" ms");
}

std::string ChangeText::show(RequestKind Kind) {
  return Kind == RequestKind::Idempotent ? "idempotent" : "not idempotent";
}

std::string ChangeText::show(std::optional<unsigned> Number) {
  return Number ? std::to_string(*Number) : "none";
}

std::string ChangeText::show(const RouteTarget &Target) {
  return std::visit(TargetText{}, Target);
}

} // namespace carawaypond
