// Compares the catalogue in docs/EVENTS.md with the events in the code.
#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>
#include <map>
#include <regex>
#include <sstream>
#include <string>

namespace thornplank {
namespace {

// Name and level of each event, separated by a space, by its number.
using Catalogue = std::map<int, std::string>;

std::string ReadFile(const std::filesystem::path& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

void Add(int number, const std::string& entry, Catalogue* catalogue) {
  INFO("event " << number << " is defined twice");
  CHECK(catalogue->count(number) == 0);
  (*catalogue)[number] = entry;
}

Catalogue EventsInCode(const std::filesystem::path& folder) {
  static const std::regex kDeclaration(
      R"re(Event\s+k\w+\{\s*(\d+),\s*"([^"]+)",\s*Severity::k(\w+)\s*\})re");
  Catalogue catalogue;
  for (const auto& entry : std::filesystem::directory_iterator(folder)) {
    const std::string text = ReadFile(entry.path());
    for (std::sregex_iterator it(text.begin(), text.end(), kDeclaration), end;
         it != end; ++it) {
      std::string level = (*it)[3];
      level[0] = static_cast<char>(std::tolower(level[0]));
      Add(std::stoi((*it)[1]), (*it)[2].str() + " " + level, &catalogue);
    }
  }
  return catalogue;
}

Catalogue EventsInDocument(const std::filesystem::path& page) {
  static const std::regex kRow(R"(\| (\d+) \| ([a-z0-9-]+) \| ([a-z]+) \| \S)");
  Catalogue catalogue;
  const std::string text = ReadFile(page);
  for (std::sregex_iterator it(text.begin(), text.end(), kRow), end; it != end;
       ++it) {
    Add(std::stoi((*it)[1]), (*it)[2].str() + " " + (*it)[3].str(), &catalogue);
  }
  return catalogue;
}

TEST_CASE("code and catalogue contain the same events") {
  const std::filesystem::path root = THORNPLANK_SOURCE_DIR;
  const Catalogue code = EventsInCode(root / "src/libs/logging/events");
  const Catalogue page = EventsInDocument(root / "docs/EVENTS.md");
  CHECK(code.size() > 4);
  for (const auto& row : code) {
    // Not a structured binding: INFO and CHECK capture the names in lambdas.
    const int number = row.first;
    const std::string& entry = row.second;
    INFO("event " << number << " " << entry << " against docs/EVENTS.md");
    REQUIRE(page.count(number) == 1);
    CHECK(page.at(number) == entry);
  }
  for (const auto& row : page) {
    // Not a structured binding: INFO and CHECK capture the names in lambdas.
    const int number = row.first;
    const std::string& entry = row.second;
    INFO("event " << number << " " << entry << " of docs/EVENTS.md");
    CHECK(code.count(number) == 1);
  }
}

}  // namespace
}  // namespace thornplank
