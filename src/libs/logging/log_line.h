// Parses one line of a log into its fields.
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
  int event_number = 0;
  std::string name;
  // All other fields of the line.
  Json fields;
};

// Skips anything before the first brace, where log collectors put their own
// prefix. Returns nullopt if the remaining text is not a line of an event log.
std::optional<LogLine> ParseLogLine(std::string_view text);

}  // namespace thornplank

#endif  // THORNPLANK_LOGGING_LOG_LINE_H_
