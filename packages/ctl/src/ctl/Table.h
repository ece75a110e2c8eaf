#pragma once

#include <string>
#include <vector>

namespace carawaypond::ctl {

/// @brief Text table; each column is as wide as its widest cell.
class Table {
public:
  explicit Table(std::vector<std::string> Heading);

  /// @return The heading in upper case and the rows, each on a line.
  [[nodiscard]] std::string print() const;

  /// @brief Adds a row with one cell for each column.
  void add(std::vector<std::string> Row);

private:
  std::vector<std::vector<std::string>> m_Rows; ///< The heading is the first.
};

} // namespace carawaypond::ctl
