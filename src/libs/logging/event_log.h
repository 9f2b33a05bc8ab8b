// Structured log: one JSON object per line, written through spdlog. Each line
// is a numbered event of the catalogue in docs/EVENTS.md.
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
  // Unique; the number of a removed event is never reused.
  int number;
  // In kebab case, as in the catalogue.
  std::string_view name;
  Severity severity;
};

using EventField = std::pair<std::string_view, Json>;

// Which thread writes the lines.
enum class LogWriter {
  // A dedicated thread behind a bounded queue, which drops its oldest line
  // rather than block a caller. For processes with a thread pool.
  kBackgroundThread,
  // The thread that logs; lines that cannot be written without waiting are
  // dropped. Saves a single-threaded process the hand-over to another thread,
  // which takes 6 % of a busy leader's time.
  kCallingThread,
};

// Opens the log on the file `path`, or on standard output if `path` is empty.
// Events below `minimum` are dropped. Each event has a budget of lines and
// bytes per second. Every line carries `instance`. From then on the process
// ignores SIGPIPE, so that it survives a reader that closes the pipe. Returns
// false if the file cannot be opened; nothing is logged then.
bool OpenEventLog(std::string_view instance, Severity minimum, LogWriter writer,
                  const std::string& path, Error* error);
// Drops events below `minimum` from now on.
void SetLogSeverity(Severity minimum);
void CloseEventLog();

// Totals since the log was opened.
struct LogTotals {
  uint64_t lines = 0;
  uint64_t bytes = 0;
  // Suppressed lines, beyond the budget of their event.
  uint64_t over_budget = 0;
  // Lines dropped because the queue was full or the reader did not read.
  uint64_t dropped = 0;
};
LogTotals log_totals();

// Returns nullopt unless `name` is debug, info, warning or error.
std::optional<Severity> ParseSeverity(std::string_view name);

// Writes one line; does nothing while no log is open. Never pass secrets.
void LogEvent(const Event& event, std::initializer_list<EventField> fields);
// As above, with the step, peer and reason of `error` as further fields.
void LogEvent(const Event& event, const Error& error,
              std::initializer_list<EventField> fields = {});

}  // namespace thornplank

#endif  // THORNPLANK_LOGGING_EVENT_LOG_H_
