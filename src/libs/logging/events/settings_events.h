// Events 200-299: the settings tree and its stream.
#ifndef THORNPLANK_LOGGING_EVENTS_SETTINGS_EVENTS_H_
#define THORNPLANK_LOGGING_EVENTS_SETTINGS_EVENTS_H_

#include "logging/event_log.h"

namespace thornplank::events {

inline constexpr Event kSettingsChanged{200, "settings-changed",
                                        Severity::kInfo};
inline constexpr Event kSettingsChangeRefused{201, "settings-change-refused",
                                              Severity::kInfo};
inline constexpr Event kSettingsRecordMalformed{
    202, "settings-record-malformed", Severity::kError};
inline constexpr Event kSettingsWriteUndecided{203, "settings-write-undecided",
                                               Severity::kWarning};
inline constexpr Event kSettingsGap{204, "settings-gap", Severity::kWarning};
inline constexpr Event kSettingsSnapshotAdopted{
    205, "settings-snapshot-adopted", Severity::kInfo};
inline constexpr Event kSettingsSnapshotUnusable{
    206, "settings-snapshot-unusable", Severity::kWarning};
inline constexpr Event kSettingsSnapshotAppended{
    207, "settings-snapshot-appended", Severity::kInfo};
inline constexpr Event kSettingsReady{208, "settings-ready", Severity::kInfo};
inline constexpr Event kSettingsRecovered{209, "settings-recovered",
                                          Severity::kWarning};

}  // namespace thornplank::events

#endif  // THORNPLANK_LOGGING_EVENTS_SETTINGS_EVENTS_H_
