// The timeline of one job or request, from the logs of all entries.
//
// Takes the lines of any number of logs and keeps those that name the id, and
// as context those that may explain a delay: changes of leadership, losses of
// the store, and changes in the state of the workers that the job was placed
// on.
#ifndef THORNPLANK_LOGGING_LOG_TIMELINE_H_
#define THORNPLANK_LOGGING_LOG_TIMELINE_H_

#include <cstddef>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/json.h"
#include "base/time.h"
#include "logging/log_line.h"

namespace thornplank {

struct TimelineEvent : LogLine {
  // The line contains the id; otherwise it is context.
  bool names_id = false;
};

// A time in which no line names the id.
struct TimelineGap {
  Duration length{};
  // Indices of the events that begin and end the gap.
  size_t from = 0;
  size_t to = 0;
};

class LogTimeline {
 public:
  explicit LogTimeline(std::string id) : id_(std::move(id)) {}

  // Adds one line of a log. Returns false if it cannot be parsed.
  bool Add(std::string_view line);

  // Sorted by time, from the first event that names the id to the last.
  std::vector<TimelineEvent> Events() const;
  // The longest gap between two events that name the id; nullopt if fewer than
  // two do.
  static std::optional<TimelineGap> LongestGap(
      const std::vector<TimelineEvent>& events);

 private:
  // Adds the workers that the fields of an event name to `workers_`.
  void CollectWorkers(const Json& fields);
  // Whether an event that does not name the id is part of its context.
  bool IsContext(const TimelineEvent& event) const;

  const std::string id_;
  // Events that name the id.
  std::vector<TimelineEvent> id_events_;
  // Other events, which are context if IsContext() holds once all lines are
  // added.
  std::vector<TimelineEvent> context_candidates_;
  // Workers named by the events of the id.
  std::set<std::string> workers_;
  // Instances that logged events of the id.
  std::set<std::string> instances_;
};

}  // namespace thornplank

#endif  // THORNPLANK_LOGGING_LOG_TIMELINE_H_
