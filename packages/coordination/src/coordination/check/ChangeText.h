#pragma once

#include "coordination/routing/RequestRoute.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace carawaypond {

/// @brief Lists the fields of an entry that differ between two versions.
class ChangeText {
public:
  /// @return The changes on one line; empty if there are none.
  [[nodiscard]] const std::string &text() const { return m_Text; }

  /// @brief Adds @p Field with its values if they differ.
  template <typename Value>
  void compare(std::string_view Field, const Value &Before,
               const Value &After) {
    addIfDifferent(Field, show(Before), show(After));
  }
  /// @brief Adds the number of entries of a list that came and went, if any.
  void compareCounts(std::string_view Field, std::size_t Added,
                     std::size_t Removed);
  /// @brief Adds the differences between the targets of a route.
  void compareTargets(const RouteTarget &Before, const RouteTarget &After);

private:
  [[nodiscard]] static std::string show(const std::string &Text);
  [[nodiscard]] static std::string show(std::uint64_t Number);
  [[nodiscard]] static std::string show(unsigned Number);
  [[nodiscard]] static std::string show(double Number);
  [[nodiscard]] static std::string show(bool Value);
  [[nodiscard]] static std::string show(Milliseconds Time);
  [[nodiscard]] static std::string show(RequestKind Kind);
  [[nodiscard]] static std::string show(std::optional<unsigned> Number);
  [[nodiscard]] static std::string show(const RouteTarget &Target);

  void add(std::string_view Change);
  void addIfDifferent(std::string_view Field, const std::string &Before,
                      const std::string &After);
  void compareShards(const ShardSetTarget &Before, const ShardSetTarget &After);

  friend struct TargetText;

  std::string m_Text;
};

} // namespace carawaypond
