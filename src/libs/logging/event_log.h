// Structured logs: one JSON object a line, through spdlog, each a numbered
// event of the catalogue in docs/EVENTS.md.
//
// Numbers by area: 100 process, 200 settings, 300 routing, 400 claims on
// non-idempotent requests, 500 jobs, 600 membership, 700 platform, 800
// network. Each area declares its events in logging/events/<area>_events.h.
#ifndef THORNPLANK_LOGGING_EVENT_LOG_H_
#define THORNPLANK_LOGGING_EVENT_LOG_H_

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

// Opens the log on standard output (or on the file `path`), dropping events
// below `minimum`. Lines go through a bounded queue that drops the oldest
// line rather than block a caller. Every line carries `instance`.
void OpenEventLog(std::string_view instance, Severity minimum,
                  const std::string& path = "");
void CloseEventLog();

// nullopt when `name` is none of debug, info, warning, error.
std::optional<Severity> ParseSeverity(std::string_view name);

// Writes one line; before OpenEventLog it does nothing. Never pass secrets.
void LogEvent(const Event& event, std::initializer_list<EventField> fields);
// The same with the error's step, peer and reason as fields.
void LogEvent(const Event& event, const Error& error,
              std::initializer_list<EventField> fields = {});

}  // namespace thornplank

#endif  // THORNPLANK_LOGGING_EVENT_LOG_H_
