// Selects the events of a timeline and sorts them by time.
#include "logging/log_timeline.h"

#include <algorithm>
#include <array>
#include <utility>

#include "logging/events/coordination_events.h"
#include "logging/events/process_events.h"

namespace thornplank {
namespace {

// May delay any job, on whichever instance they are logged.
constexpr std::array<const Event*, 4> kSystemWideEvents = {
    &events::kLeadershipAcquired, &events::kLeadershipLost,
    &events::kLeadershipReleased, &events::kStoreLost};

// Matter only on the instances that have logged something about the id.
constexpr std::array<const Event*, 5> kInstanceEvents = {
    &events::kProcessStarted, &events::kShutdownBegun, &events::kStoreBack,
    &events::kConfigurationInForce, &events::kLogLinesSuppressed};

// Changes in the state of a worker; matter only for the workers of the id.
constexpr std::array<const Event*, 6> kWorkerEvents = {
    &events::kWorkerSeen, &events::kWorkerSilent,  &events::kWorkerBack,
    &events::kWorkerGone, &events::kWorkerLeaving, &events::kRunStalled};

template <size_t kSize>
bool IsOneOf(int number, const std::array<const Event*, kSize>& events) {
  return std::any_of(events.begin(), events.end(),
                     [number](const Event* e) { return e->number == number; });
}

bool IsBefore(const TimelineEvent& a, const TimelineEvent& b) {
  return a.time < b.time;
}

}  // namespace

bool LogTimeline::Add(std::string_view text) {
  std::optional<LogLine> parsed = ParseLogLine(text);
  if (!parsed) return false;
  const bool names_id = text.find(id_) != std::string_view::npos;
  TimelineEvent event{std::move(*parsed), names_id};
  if (names_id) {
    CollectWorkers(event.fields);
    instances_.insert(event.instance);
    id_events_.push_back(std::move(event));
    return true;
  }
  const bool may_be_context = IsOneOf(event.event_number, kSystemWideEvents) ||
                              IsOneOf(event.event_number, kInstanceEvents) ||
                              IsOneOf(event.event_number, kWorkerEvents);
  if (may_be_context) context_candidates_.push_back(std::move(event));
  return true;
}

void LogTimeline::CollectWorkers(const Json& fields) {
  if (const auto worker = StringField(fields, "worker")) {
    workers_.insert(*worker);
  }
  // An array of pairs [index of the task, worker].
  const Json* tasks = ArrayField(fields, "tasks");
  if (tasks == nullptr) return;
  for (const Json& row : *tasks) {
    if (!row.is_array() || row.size() < 2 || !row[1].is_string()) continue;
    workers_.insert(row[1].get<std::string>());
  }
}

bool LogTimeline::IsContext(const TimelineEvent& event) const {
  if (IsOneOf(event.event_number, kSystemWideEvents)) return true;
  if (IsOneOf(event.event_number, kInstanceEvents)) {
    return instances_.count(event.instance) > 0;
  }
  const auto worker = StringField(event.fields, "worker");
  return worker && workers_.count(*worker) > 0;
}

std::vector<TimelineEvent> LogTimeline::Events() const {
  std::vector<TimelineEvent> events = id_events_;
  if (events.empty()) return events;
  std::stable_sort(events.begin(), events.end(), IsBefore);
  const WallTime first = events.front().time;
  const WallTime last = events.back().time;
  for (const TimelineEvent& event : context_candidates_) {
    if (event.time < first || event.time > last || !IsContext(event)) continue;
    events.push_back(event);
  }
  std::stable_sort(events.begin(), events.end(), IsBefore);
  return events;
}

std::optional<TimelineGap> LogTimeline::LongestGap(
    const std::vector<TimelineEvent>& events) {
  std::optional<TimelineGap> longest;
  std::optional<size_t> last;
  for (size_t i = 0; i < events.size(); ++i) {
    if (!events[i].names_id) continue;
    const std::optional<size_t> previous = std::exchange(last, i);
    if (!previous) continue;
    const Duration length = events[i].time - events[*previous].time;
    if (longest && length <= longest->length) continue;
    longest = TimelineGap{length, *previous, i};
  }
  return longest;
}

}  // namespace thornplank
