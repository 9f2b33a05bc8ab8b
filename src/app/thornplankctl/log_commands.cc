// thornplankctl logs …: reads log files; calls no entry.
#include <fstream>
#include <iomanip>
#include <iostream>

#include "command.h"
#include "logging/log_story.h"

namespace thornplank {
namespace {

int64_t ToMilliseconds(Duration duration) {
  return std::chrono::duration_cast<Milliseconds>(duration).count();
}

void PrintLine(const StoryLine& line, WallTime begin) {
  constexpr int kTimeWidth = 8;
  std::cout << (line.own ? "  " : "~ ") << std::setw(kTimeWidth)
            << ToMilliseconds(line.time - begin) << " ms  " << line.instance
            << "  " << line.event << " " << line.name;
  for (const auto& [field, value] : line.fields.items()) {
    std::cout << "  " << field << "=" << ToCell(value);
  }
  std::cout << "\n";
}

void PrintGap(const std::vector<StoryLine>& lines, const StoryGap& gap) {
  std::cout << "\nlongest wait: " << ToMilliseconds(gap.length) << " ms, from "
            << lines[gap.from].name << " to " << lines[gap.to].name << "\n";
  for (size_t i = gap.from + 1; i < gap.to; ++i) {
    std::cout << "  meanwhile at " << lines[i].instance << ": " << lines[i].name
              << "\n";
  }
}

int Explain(const CommandContext& context) {
  const std::vector<std::string>& arguments = context.arguments;
  LogStory story(arguments[0]);
  size_t unreadable = 0;
  for (size_t i = 1; i < arguments.size(); ++i) {
    std::ifstream file(arguments[i]);
    if (!file) {
      std::cerr << "thornplankctl: cannot read " << arguments[i] << "\n";
      return kExitUsage;
    }
    for (std::string line; std::getline(file, line);) {
      if (!story.Add(line)) ++unreadable;
    }
  }
  const std::vector<StoryLine> lines = story.Lines();
  if (unreadable > 0) {
    std::cerr << "thornplankctl: " << unreadable
              << " lines are not of this log's form and were left out\n";
  }
  if (lines.empty()) {
    std::cerr << "thornplankctl: no line names " << arguments[0]
              << ": no entry whose log is here took or refused it\n";
    return kExitRefused;
  }
  for (const StoryLine& line : lines) {
    PrintLine(line, lines.front().time);
  }
  const std::optional<StoryGap> gap = LogStory::LongestGap(lines);
  if (gap) PrintGap(lines, *gap);
  return kExitOk;
}

}  // namespace

std::vector<Command> LogCommands() {
  return {
      {"logs", "explain", "ID FILE...",
       "Tells the story of a job or request from the logs of all entries, in "
       "order; lines with ~ are what went on around it. Calls no entry.",
       "thornplankctl logs explain 5c0e7a21d94b36f8 logs/*", 2, Explain},
  };
}

}  // namespace thornplank
