// Documents that are kept beside the settings tree: events and drains.
//
// They share the tree's compare-and-set, history and snapshots, but inherit no
// values. The path of a document is "events/NAME" or "drains/INSTANCE".
#ifndef THORNPLANK_SETTINGS_SETTINGS_DOCUMENTS_H_
#define THORNPLANK_SETTINGS_SETTINGS_DOCUMENTS_H_

#include <optional>
#include <string>
#include <vector>

#include "base/json.h"
#include "base/time.h"
#include "settings/effective_settings.h"
#include "settings/settings_reader.h"

namespace thornplank {

inline constexpr std::string_view kEventPrefix = "events/";
inline constexpr std::string_view kDrainPrefix = "drains/";

// Executor slots of a service that an event needs.
struct EventSlots {
  std::string service;
  int slots = 0;
};

// An event: work that has to start at a fixed time.
struct EventDocument {
  std::string name;
  std::string account;
  WallTime starts_at;
  std::vector<ShapeSetting> shapes;
  std::vector<EventSlots> services;
  // Names of jobs.
  std::vector<std::string> jobs;
};

std::string EventPath(const std::string& name);
std::string DrainPath(const std::string& instance);

// Returns nullopt if `value` is invalid, with the problems in `*problems` (may
// be null).
std::optional<EventDocument> ParseEvent(const std::string& name,
                                        const Json& value,
                                        std::vector<SettingsProblem>* problems);

// The problems of a document; the prefix of `path` tells events from drains.
std::vector<SettingsProblem> CheckDocument(const std::string& path,
                                           const Json& value);

}  // namespace thornplank

#endif  // THORNPLANK_SETTINGS_SETTINGS_DOCUMENTS_H_
