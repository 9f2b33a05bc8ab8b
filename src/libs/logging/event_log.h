// Structured logs: one JSON object a line, through spdlog, each a numbered
// event of the catalogue in docs/EVENTS.md.
//
// Numbers by area: 100 process, 200 settings, 300 routing, 400 claims on
// non-idempotent requests, 500 jobs, 600 membership, 700 platform, 800
// network, 900 the scheduler on the users' platform. Each area declares its
// events in logging/events/<area>_events.h.
#ifndef THORNPLANK_LOGGING_EVENT_LOG_H_
#define THORNPLANK_LOGGING_EVENT_LOG_H_

#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "base/error.h"
#include "base/json.h"

namespace thornplank {

enum class Severity { kDebug, kInfo, kWarning, kError };

struct Event {
  // Unique for ever; a number is not used again for something else.
  int number;
  // Kebab case, as in the catalogue.
  std::string_view name;
  Severity severity;
};

using EventField = std::pair<std::string_view, Json>;

// Which thread writes lines.
enum class LogWriter {
  // One of its own, behind a bounded queue that drops the oldest line rather
  // than block a caller: for processes with a pool of workers.
  kBackgroundThread,
  // The one that logs, as far as there is room without waiting: saves a
  // process with one thread the hand-over, 6 % of a busy leader's time.
  kCallingThread,
};

// Opens the log on standard output (or on the file `path`), dropping events
// below `minimum`. Each event has a budget of lines and bytes a second. Every
// line carries `instance`. From then on the process ignores SIGPIPE: a reader
// of the log that goes away must not end it. False when the file cannot be
// opened; nothing is logged then.
bool OpenEventLog(std::string_view instance, Severity minimum, LogWriter writer,
                  const std::string& path, Error* error);
// Drops events below `minimum` from now on.
void SetLogSeverity(Severity minimum);
void CloseEventLog();

// Since the log was opened first.
struct LogTotals {
  uint64_t lines = 0;
  uint64_t bytes = 0;
  // Beyond the budget of their event.
  uint64_t over_budget = 0;
  // The queue was full, or the reader did not read.
  uint64_t dropped = 0;
};
LogTotals log_totals();

// nullopt when `name` is none of debug, info, warning, error.
std::optional<Severity> ParseSeverity(std::string_view name);

// Writes one line; before OpenEventLog it does nothing. Never pass secrets.
void LogEvent(const Event& event, std::initializer_list<EventField> fields);
// The same with the error's step, peer and reason as fields.
void LogEvent(const Event& event, const Error& error,
              std::initializer_list<EventField> fields = {});

}  // namespace thornplank

#endif  // THORNPLANK_LOGGING_EVENT_LOG_H_
