// Keys and ranges of events and drains.
#include "settings/settings_documents.h"

#include <set>
#include <utility>

namespace thornplank {
namespace {

constexpr IntRange kSlotRange{1, 1'000'000};
// Up to the year 2255, which a WallTime can represent.
constexpr IntRange kUnixTimeRange{0, 9'000'000'000'000};

bool HasPrefix(const std::string& text, std::string_view prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

void ReadEventKeys(SettingsReader& reader, EventDocument* event) {
  reader.Text("account", Presence::kRequired, NameText(), &event->account);
  int64_t starts_at = 0;
  reader.Int("starts_at_ms", Presence::kRequired, kUnixTimeRange, &starts_at);
  event->starts_at = FromUnixMilliseconds(starts_at);
  ReadShapes(reader, "shapes", &event->shapes);
  reader.List(
      "services", Presence::kOptional, /*min_items=*/0,
      [event](SettingsReader& item) {
        EventSlots slots;
        item.Text("service", Presence::kRequired, NameText(), &slots.service);
        item.Int("slots", Presence::kRequired, kSlotRange, &slots.slots);
        event->services.push_back(std::move(slots));
      });
  reader.TextList("jobs", Presence::kOptional, NameText(), &event->jobs);
  std::set<std::string> services;
  for (const EventSlots& slots : event->services) {
    if (services.insert(slots.service).second) continue;
    reader.AddProblem("services", '"' + slots.service + "\" a second time",
                      "each service once");
  }
}

std::vector<SettingsProblem> CheckName(const std::string& path,
                                       std::string_view prefix) {
  const std::string name = path.substr(prefix.size());
  const TextRule rule = NameText();
  if (rule.accepts(name)) return {};
  return {{"", "the name \"" + name + '"', rule.allowed}};
}

std::vector<SettingsProblem> CheckDrain(const Json& value) {
  SettingsReader reader(value);
  std::string instance;
  reader.Text("instance", Presence::kRequired, NameText(), &instance);
  return reader.Finish();
}

}  // namespace

std::string EventPath(const std::string& name) {
  return std::string(kEventPrefix) + name;
}

std::string DrainPath(const std::string& instance) {
  return std::string(kDrainPrefix) + instance;
}

std::optional<EventDocument> ParseEvent(
    const std::string& name, const Json& value,
    std::vector<SettingsProblem>* problems) {
  SettingsReader reader(value);
  EventDocument event;
  event.name = name;
  ReadEventKeys(reader, &event);
  std::vector<SettingsProblem> found = reader.Finish();
  if (found.empty()) return event;
  if (problems != nullptr) *problems = std::move(found);
  return std::nullopt;
}

std::vector<SettingsProblem> CheckDocument(const std::string& path,
                                           const Json& value) {
  if (HasPrefix(path, kDrainPrefix)) {
    const auto problems = CheckName(path, kDrainPrefix);
    return problems.empty() ? CheckDrain(value) : problems;
  }
  if (!HasPrefix(path, kEventPrefix)) {
    return {{"", "the document path \"" + path + '"', "events/ or drains/"}};
  }
  std::vector<SettingsProblem> problems = CheckName(path, kEventPrefix);
  if (problems.empty()) ParseEvent("", value, &problems);
  return problems;
}

}  // namespace thornplank
