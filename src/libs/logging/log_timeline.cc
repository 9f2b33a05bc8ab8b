// Selection and order of lines.
#include "logging/log_timeline.h"

#include <algorithm>
#include <array>
#include <utility>

#include "logging/events/coordination_events.h"
#include "logging/events/process_events.h"

namespace thornplank {
namespace {

// What may hold up any job, whichever entry it happens at.
constexpr std::array<const Event*, 4> kOfEveryone = {
    &events::kLeadershipAcquired, &events::kLeadershipLost,
    &events::kLeadershipReleased, &events::kStoreLost};

// What matters at the entries that had to do with the id.
constexpr std::array<const Event*, 5> kOfInvolved = {
    &events::kProcessStarted, &events::kShutdownBegun, &events::kStoreBack,
    &events::kConfigurationInForce, &events::kLogLinesLeftOut};

// What becomes of a worker.
constexpr std::array<const Event*, 6> kOfWorkers = {
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
  std::optional<LogLine> read = ReadLogLine(text);
  if (!read) return false;
  const bool own = text.find(id_) != std::string_view::npos;
  TimelineEvent line{std::move(*read), own};
  if (own) {
    NoteWorkers(line.fields);
    instances_.insert(line.instance);
    own_.push_back(std::move(line));
    return true;
  }
  const bool may_surround = IsOneOf(line.event, kOfEveryone) ||
                            IsOneOf(line.event, kOfInvolved) ||
                            IsOneOf(line.event, kOfWorkers);
  if (may_surround) others_.push_back(std::move(line));
  return true;
}

void LogTimeline::NoteWorkers(const Json& fields) {
  if (const auto worker = StringField(fields, "worker")) {
    workers_.insert(*worker);
  }
  // Rows of index and worker.
  const Json* tasks = ArrayField(fields, "tasks");
  if (tasks == nullptr) return;
  for (const Json& row : *tasks) {
    if (!row.is_array() || row.size() < 2 || !row[1].is_string()) continue;
    workers_.insert(row[1].get<std::string>());
  }
}

bool LogTimeline::Surrounds(const TimelineEvent& line) const {
  if (IsOneOf(line.event, kOfEveryone)) return true;
  if (IsOneOf(line.event, kOfInvolved)) {
    return instances_.count(line.instance) > 0;
  }
  const auto worker = StringField(line.fields, "worker");
  return worker && workers_.count(*worker) > 0;
}

std::vector<TimelineEvent> LogTimeline::Events() const {
  std::vector<TimelineEvent> lines = own_;
  if (lines.empty()) return lines;
  std::stable_sort(lines.begin(), lines.end(), IsBefore);
  const WallTime first = lines.front().time;
  const WallTime last = lines.back().time;
  for (const TimelineEvent& line : others_) {
    if (line.time < first || line.time > last || !Surrounds(line)) continue;
    lines.push_back(line);
  }
  std::stable_sort(lines.begin(), lines.end(), IsBefore);
  return lines;
}

std::optional<TimelineGap> LogTimeline::LongestGap(
    const std::vector<TimelineEvent>& lines) {
  std::optional<TimelineGap> longest;
  std::optional<size_t> last;
  for (size_t i = 0; i < lines.size(); ++i) {
    if (!lines[i].names_id) continue;
    const std::optional<size_t> before = std::exchange(last, i);
    if (!before) continue;
    const Duration length = lines[i].time - lines[*before].time;
    if (longest && length <= longest->length) continue;
    longest = TimelineGap{length, *before, i};
  }
  return longest;
}

}  // namespace thornplank
