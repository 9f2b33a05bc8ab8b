// Formats rows as a table with aligned columns.
#ifndef THORNPLANK_CLIENT_TABLE_PRINTER_H_
#define THORNPLANK_CLIENT_TABLE_PRINTER_H_

#include <string>
#include <vector>

namespace thornplank {

class TablePrinter {
 public:
  explicit TablePrinter(std::vector<std::string> header);

  // A row shorter than the header is padded with empty cells; extra cells are
  // dropped.
  void AddRow(std::vector<std::string> cells);
  // Returns the table, one line per row, columns separated by two spaces.
  std::string ToText() const;

 private:
  // The header is the first row. All rows have the same number of cells.
  std::vector<std::vector<std::string>> rows_;
};

}  // namespace thornplank

#endif  // THORNPLANK_CLIENT_TABLE_PRINTER_H_
