#pragma once

namespace carawaypond {

/// @brief Generates ids that are unique within one run of the process.
/// @tparam Id A StrongId over an integer.
template <typename Id> class IdGenerator {
public:
  /// @return A new id.
  Id next() { return Id(++m_Last); }

private:
  typename Id::ValueType m_Last = 0;
};

} // namespace carawaypond
