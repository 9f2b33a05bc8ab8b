// Documents that stand beside the settings tree: events and drains.
//
// They share the tree's compare-and-set, history and snapshots, but inherit
// nothing. A document's path is "events/NAME" or "drains/INSTANCE".
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

// Slots that an event takes at one service.
struct EventSlots {
  std::string service;
  int slots = 0;
};

// A fixed start with the work that belongs to it.
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

// nullopt with the problems in `*problems` (may be null).
std::optional<EventDocument> ParseEvent(const std::string& name,
                                        const Json& value,
                                        std::vector<SettingsProblem>* problems);

// The problems of a document; `path` decides which kind it is.
std::vector<SettingsProblem> CheckDocument(const std::string& path,
                                           const Json& value);

}  // namespace thornplank

#endif  // THORNPLANK_SETTINGS_SETTINGS_DOCUMENTS_H_
