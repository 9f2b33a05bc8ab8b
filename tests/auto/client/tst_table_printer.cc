// Tests for the alignment of table output.
#include <doctest/doctest.h>

#include "client/table_printer.h"

namespace thornplank {
namespace {

TEST_CASE("columns are aligned and short rows filled") {
  TablePrinter table({"NAME", "STATE"});
  table.AddRow({"entry-long", "alive"});
  table.AddRow({"e2"});
  CHECK(table.ToText() ==
        "NAME        STATE\n"
        "entry-long  alive\n"
        "e2\n");
}

}  // namespace
}  // namespace thornplank
