// How the fragmentation of each service changed over the time of the logs.
#ifndef THORNPLANK_LOGGING_FRAGMENTATION_COURSE_H_
#define THORNPLANK_LOGGING_FRAGMENTATION_COURSE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/time.h"
#include "logging/log_line.h"

namespace thornplank {

// The lines of one service in one interval.
struct FragmentationInterval {
  std::string service;
  WallTime begin{};
  int64_t lines = 0;
  // Means over the lines.
  double idle_accelerators = 0;
  double unusable_share = 0;
  double max_unusable_share = 0;
};

class FragmentationCourse {
 public:
  // Of the whole time, so that a day of logs remains readable.
  static constexpr int kMaxIntervals = 20;

  // Adds a line of the event `fragmentation`; ignored if a field is missing.
  void Add(const LogLine& line);
  // By service, then by time. Intervals of one length, each with at least one
  // line: there are none while no step waits.
  std::vector<FragmentationInterval> Report() const;

 private:
  struct Sample {
    std::string service;
    WallTime time{};
    double idle_accelerators = 0;
    double unusable_share = 0;
  };

  std::vector<Sample> samples_;
};

}  // namespace thornplank

#endif  // THORNPLANK_LOGGING_FRAGMENTATION_COURSE_H_
