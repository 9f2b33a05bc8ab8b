// Computes column widths and pads the cells.
#include "client/table_printer.h"

#include <algorithm>
#include <utility>

namespace thornplank {

TablePrinter::TablePrinter(std::vector<std::string> header) {
  rows_.push_back(std::move(header));
}

void TablePrinter::AddRow(std::vector<std::string> cells) {
  cells.resize(rows_.front().size());
  rows_.push_back(std::move(cells));
}

std::string TablePrinter::ToText() const {
  std::vector<size_t> widths(rows_.front().size(), 0);
  for (const std::vector<std::string>& row : rows_) {
    for (size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  std::string text;
  for (const std::vector<std::string>& row : rows_) {
    std::string line;
    for (size_t i = 0; i < row.size(); ++i) {
      line += row[i];
      line.append(widths[i] - row[i].size() + 2, ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    text += line + "\n";
  }
  return text;
}

}  // namespace thornplank
