// The story of one job or request, from the logs of all entries.
//
// Takes lines of any number of logs and keeps those that name the id, and those
// that explain a wait: changes of the lead, losses of the store, and what
// became of the workers that the job was on.
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
  // Names the id itself; else it is what went on around it.
  bool names_id = false;
};

// The longest time in which nothing is told of the id.
struct TimelineGap {
  Duration length{};
  // The lines before and after it.
  size_t from = 0;
  size_t to = 0;
};

class LogTimeline {
 public:
  explicit LogTimeline(std::string id) : id_(std::move(id)) {}

  // One line of a log; false when it cannot be read.
  bool Add(std::string_view line);

  // In order of time, from the first to the last that names the id.
  std::vector<TimelineEvent> Events() const;
  // Between two lines of the id itself; nullopt with less than two.
  static std::optional<TimelineGap> LongestGap(
      const std::vector<TimelineEvent>& lines);

 private:
  void NoteWorkers(const Json& fields);
  // Whether a line that does not name the id belongs to its surroundings.
  bool Surrounds(const TimelineEvent& line) const;

  const std::string id_;
  std::vector<TimelineEvent> own_;
  std::vector<TimelineEvent> others_;
  // Workers that the id's tasks were placed on.
  std::set<std::string> workers_;
  // Instances with lines of the id's.
  std::set<std::string> instances_;
};

}  // namespace thornplank

#endif  // THORNPLANK_LOGGING_LOG_TIMELINE_H_
