// Divides the time of the logs into intervals.
#include "logging/fragmentation_course.h"

#include <algorithm>
#include <map>
#include <utility>

namespace thornplank {
namespace {

// The leader logs a line that often while steps wait.
constexpr std::chrono::seconds kShortestInterval{10};

}  // namespace

void FragmentationCourse::Add(const LogLine& line) {
  const auto service = StringField(line.fields, "service");
  const auto idle = NumberField(line.fields, "idle_accelerators");
  const auto share = NumberField(line.fields, "unusable_share");
  if (!service || !idle || !share) return;
  samples_.push_back({*service, line.time, *idle, *share});
}

std::vector<FragmentationInterval> FragmentationCourse::Report() const {
  if (samples_.empty()) return {};
  const auto by_time = [](const Sample& a, const Sample& b) {
    return a.time < b.time;
  };
  const auto [first, last] =
      std::minmax_element(samples_.begin(), samples_.end(), by_time);
  const WallTime begin = first->time;
  const auto span = last->time - begin;
  // Longer than a part of the span, so that the last line is in the last one.
  const auto length = std::max<WallTime::duration>(
      span / kMaxIntervals + WallTime::duration(1), kShortestInterval);
  std::map<std::pair<std::string, int64_t>, FragmentationInterval> intervals;
  for (const Sample& sample : samples_) {
    const int64_t number = (sample.time - begin) / length;
    FragmentationInterval& interval = intervals[{sample.service, number}];
    interval.service = sample.service;
    interval.begin = begin + length * number;
    ++interval.lines;
    interval.idle_accelerators += sample.idle_accelerators;
    interval.unusable_share += sample.unusable_share;
    interval.max_unusable_share =
        std::max(interval.max_unusable_share, sample.unusable_share);
  }
  std::vector<FragmentationInterval> report;
  for (auto& [key, interval] : intervals) {
    interval.idle_accelerators /= static_cast<double>(interval.lines);
    interval.unusable_share /= static_cast<double>(interval.lines);
    report.push_back(std::move(interval));
  }
  return report;
}

}  // namespace thornplank
