#pragma once

namespace carawaypond {

/// @brief Hands out ids that are unique within one life of the process.
/// @tparam Id A StrongId over an integer.
template <typename Id> class SerialIds {
public:
  /// @return An id that was never given out before.
  Id next() { return Id(++m_Last); }

private:
  typename Id::ValueType m_Last = 0;
};

} // namespace carawaypond
