#include "coordination/placement/LoadBalance.h"

#include <algorithm>
#include <array>
#include <utility>

namespace carawaypond {

namespace {

constexpr std::array Names{
    std::pair{LoadBalance::LeastCost, std::string_view("least_cost")},
    std::pair{LoadBalance::BoundedShare, std::string_view("bounded_share")},
    std::pair{LoadBalance::BoundedShareAcross,
              std::string_view("bounded_share_across")},
};

} // namespace

std::string_view nameOf(LoadBalance Balance) {
  auto Found =
      std::find_if(Names.begin(), Names.end(), [Balance](const auto &Each) {
        return Each.first == Balance;
      });
  return Found->second;
}

std::optional<LoadBalance> parseLoadBalance(std::string_view Name) {
  auto Found =
      std::find_if(Names.begin(), Names.end(),
                   [Name](const auto &Each) { return Each.second == Name; });
  if (Found == Names.end())
    return std::nullopt;
  return Found->first;
}

} // namespace carawaypond
