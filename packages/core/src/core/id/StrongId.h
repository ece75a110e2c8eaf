#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <ostream>
#include <utility>

namespace carawaypond {

/// @brief An identifier that can't be confused with one of another kind.
/// @tparam Tag A type that names the kind; declared but never defined.
/// @tparam Rep The representation, an integer or a string.
template <typename Tag, typename Rep> class StrongId {
public:
  using ValueType = Rep;

  StrongId() = default;
  explicit StrongId(Rep Value) : m_Value(std::move(Value)) {}

  /// @brief The representation, for codecs and messages.
  [[nodiscard]] const Rep &value() const { return m_Value; }

  friend bool operator==(const StrongId &, const StrongId &) = default;
  friend auto operator<=>(const StrongId &, const StrongId &) = default;

  friend std::ostream &operator<<(std::ostream &Out, const StrongId &Id) {
    return Out << Id.m_Value;
  }

private:
  Rep m_Value{};
};

} // namespace carawaypond

template <typename Tag, typename Rep>
struct std::hash<carawaypond::StrongId<Tag, Rep>> {
  std::size_t
  operator()(const carawaypond::StrongId<Tag, Rep> &Id) const noexcept {
    return std::hash<Rep>{}(Id.value());
  }
};
