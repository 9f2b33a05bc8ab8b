// Events 100-199: start, readiness, reload and shutdown of a process, and its
// log.
#ifndef THORNPLANK_LOGGING_EVENTS_PROCESS_EVENTS_H_
#define THORNPLANK_LOGGING_EVENTS_PROCESS_EVENTS_H_

#include "logging/event_log.h"

namespace thornplank::events {

inline constexpr Event kProcessStarted{100, "process-started", Severity::kInfo};
inline constexpr Event kProcessReady{101, "process-ready", Severity::kInfo};
inline constexpr Event kProcessNotReady{102, "process-not-ready",
                                        Severity::kWarning};
inline constexpr Event kShutdownBegun{103, "shutdown-begun", Severity::kInfo};
inline constexpr Event kShutdownDone{104, "shutdown-done", Severity::kInfo};
inline constexpr Event kSettingsReloaded{105, "settings-reloaded",
                                         Severity::kInfo};
inline constexpr Event kSettingsNotReloaded{106, "settings-not-reloaded",
                                            Severity::kError};
inline constexpr Event kLogLinesSuppressed{107, "log-lines-left-out",
                                           Severity::kWarning};

}  // namespace thornplank::events

#endif  // THORNPLANK_LOGGING_EVENTS_PROCESS_EVENTS_H_
