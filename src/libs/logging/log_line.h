// One line of a log, read back.
#ifndef THORNPLANK_LOGGING_LOG_LINE_H_
#define THORNPLANK_LOGGING_LOG_LINE_H_

#include <optional>
#include <string>
#include <string_view>

#include "base/json.h"
#include "base/time.h"

namespace thornplank {

struct LogLine {
  WallTime time{};
  std::string instance;
  int event = 0;
  std::string name;
  // All other fields of the line.
  Json fields;
};

// Anything before the first brace is skipped, as log collectors put their own
// words there. nullopt when the rest is not a line of a log.
std::optional<LogLine> ReadLogLine(std::string_view text);

}  // namespace thornplank

#endif  // THORNPLANK_LOGGING_LOG_LINE_H_
