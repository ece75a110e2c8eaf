#include "ctl/Table.h"

#include "core/invariant/Invariant.h"

#include <algorithm>
#include <cctype>

namespace carawaypond::ctl {

namespace {

constexpr std::size_t Gap = 2;

std::string capitals(std::string Text) {
  for (char &C : Text)
    C = static_cast<char>(std::toupper(static_cast<unsigned char>(C)));
  return Text;
}

} // namespace

Table::Table(std::vector<std::string> Heading) {
  for (std::string &Cell : Heading)
    Cell = capitals(std::move(Cell));
  m_Rows.push_back(std::move(Heading));
}

void Table::add(std::vector<std::string> Row) {
  CARAWAYPOND_INVARIANT(Row.size() == m_Rows.front().size(),
                        "a row has a cell for each column");
  m_Rows.push_back(std::move(Row));
}

std::string Table::print() const {
  std::vector<std::size_t> Widths(m_Rows.front().size());
  for (const auto &Row : m_Rows)
    for (std::size_t I = 0; I < Row.size(); ++I)
      Widths[I] = std::max(Widths[I], Row[I].size());
  std::string Text;
  for (const auto &Row : m_Rows) {
    std::string Line;
    for (std::size_t I = 0; I < Row.size(); ++I) {
      Line += Row[I];
      Line.append(Widths[I] - Row[I].size() + Gap, ' ');
    }
    Line.erase(Line.find_last_not_of(' ') + 1);
    Text += Line + '\n';
  }
  return Text;
}

} // namespace carawaypond::ctl
