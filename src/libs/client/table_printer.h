// Prints rows as a table with aligned columns.
#ifndef THORNPLANK_CLIENT_TABLE_PRINTER_H_
#define THORNPLANK_CLIENT_TABLE_PRINTER_H_

#include <string>
#include <vector>

namespace thornplank {

class TablePrinter {
 public:
  explicit TablePrinter(std::vector<std::string> header);

  // A row shorter than the header is filled with empty cells.
  void AddRow(std::vector<std::string> cells);
  // The table, one line a row, columns two spaces apart.
  std::string ToText() const;

 private:
  // The header first; every row has as many cells as the header.
  std::vector<std::vector<std::string>> rows_;
};

}  // namespace thornplank

#endif  // THORNPLANK_CLIENT_TABLE_PRINTER_H_
