// thornplankctl logs …: evaluates log files; sends no requests.
#include <algorithm>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <map>
#include <utility>

#include "command.h"
#include "logging/log_summary.h"
#include "logging/log_timeline.h"

namespace thornplank {
namespace {

int64_t ToMilliseconds(Duration duration) {
  return std::chrono::duration_cast<Milliseconds>(duration).count();
}

void PrintEvent(const TimelineEvent& event, WallTime begin) {
  constexpr int kTimeWidth = 8;
  std::cout << (event.names_id ? "  " : "~ ") << std::setw(kTimeWidth)
            << ToMilliseconds(event.time - begin) << " ms  " << event.instance
            << "  " << event.event_number << " " << event.name;
  for (const auto& [field, value] : event.fields.items()) {
    std::cout << "  " << field << "=" << ToCell(value);
  }
  std::cout << "\n";
}

void PrintGap(const std::vector<TimelineEvent>& events,
              const TimelineGap& gap) {
  std::cout << "\nlongest wait: " << ToMilliseconds(gap.length) << " ms, from "
            << events[gap.from].name << " to " << events[gap.to].name << "\n";
  for (size_t i = gap.from + 1; i < gap.to; ++i) {
    std::cout << "  meanwhile at " << events[i].instance << ": "
              << events[i].name << "\n";
  }
}

// Passes every line of the files that are named in the arguments from index
// `first` on to `log`. Returns false if a file cannot be read.
template <typename Log>
bool ReadFiles(const std::vector<std::string>& arguments, size_t first,
               Log* log) {
  size_t unreadable = 0;
  for (size_t i = first; i < arguments.size(); ++i) {
    std::ifstream file(arguments[i]);
    if (!file) {
      std::cerr << "thornplankctl: cannot read " << arguments[i] << "\n";
      return false;
    }
    for (std::string line; std::getline(file, line);) {
      if (!log->Add(line)) ++unreadable;
    }
  }
  if (unreadable > 0) {
    std::cerr << "thornplankctl: " << unreadable
              << " lines are not of this log's form and were left out\n";
  }
  return true;
}

int Explain(const CommandContext& context) {
  const std::vector<std::string>& arguments = context.arguments;
  LogTimeline timeline(arguments[0]);
  if (!ReadFiles(arguments, 1, &timeline)) return kExitUsage;
  const std::vector<TimelineEvent> events = timeline.Events();
  if (events.empty()) {
    std::cerr << "thornplankctl: no line names " << arguments[0]
              << ": no entry whose log is here took or refused it\n";
    return kExitRefused;
  }
  for (const TimelineEvent& event : events) {
    PrintEvent(event, events.front().time);
  }
  const std::optional<TimelineGap> gap = LogTimeline::LongestGap(events);
  if (gap) PrintGap(events, *gap);
  return kExitOk;
}

// Of the jobs that completed, PrintJobs lists this many that waited longest.
constexpr size_t kMaxSlowestJobs = 20;

double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

Json ToJson(const WaitsByCause& waits) {
  Json json = Json::object();
  for (const auto& [cause, length] : waits) {
    json[cause] = ToMilliseconds(length);
  }
  return json;
}

Json ToJson(const LogSummaryReport& report) {
  Json jobs = Json::array();
  for (const JobSummary& job : report.jobs) {
    jobs.push_back({{"job", job.job},
                    {"priority", job.priority ? Json(*job.priority) : Json()},
                    {"state", job.state},
                    {"lasted_ms", ToMilliseconds(job.duration)},
                    {"waits_ms", ToJson(job.waits)}});
  }
  Json discarded = Json::array();
  for (const DiscardedRuns& runs : report.discarded_runs) {
    discarded.push_back(
        {{"cause", runs.cause},
         {"priority", runs.priority},
         {"runs", runs.runs},
         {"accelerator_ms", ToMilliseconds(runs.lost_accelerator_time)},
         {"kept_accelerator_ms", ToMilliseconds(runs.kept_accelerator_time)}});
  }
  Json late = Json::array();
  for (const LateJobsByCause& jobs_late : report.late_jobs) {
    late.push_back({{"cause", jobs_late.cause},
                    {"priority", jobs_late.priority},
                    {"jobs", jobs_late.jobs},
                    {"late_ms", ToMilliseconds(jobs_late.total_lateness)},
                    {"accounts", jobs_late.accounts},
                    {"entries", jobs_late.entries}});
  }
  Json fragmentation = Json::array();
  for (const FragmentationInterval& interval : report.fragmentation) {
    fragmentation.push_back(
        {{"service", interval.service},
         {"begin_ms", ToUnixMilliseconds(interval.begin)},
         {"lines", interval.lines},
         {"idle_accelerators", interval.idle_accelerators},
         {"unusable_share", interval.unusable_share},
         {"max_unusable_share", interval.max_unusable_share}});
  }
  return {{"jobs", std::move(jobs)},
          {"discarded", std::move(discarded)},
          {"late", std::move(late)},
          {"fragmentation", std::move(fragmentation)}};
}

void PrintCounts(const LogSummaryReport& report) {
  std::map<std::string, size_t> states;
  for (const JobSummary& job : report.jobs) {
    ++states[job.state.empty() ? "state not known" : job.state];
  }
  std::cout << report.jobs.size() << " jobs:";
  for (const auto& [state, count] : states) {
    std::cout << "  " << state << " " << count;
  }
  std::cout << "\n";
}

void PrintWaits(const LogSummaryReport& report) {
  std::map<std::pair<std::string, int64_t>, Duration> sums;
  for (const JobSummary& job : report.jobs) {
    for (const auto& [cause, length] : job.waits) {
      sums[{cause, job.priority.value_or(-1)}] += length;
    }
  }
  std::cout << "\nsteps waited, s  priority  for\n";
  for (const auto& [key, length] : sums) {
    std::cout << std::setw(15) << ToSeconds(length) << std::setw(10)
              << (key.second < 0 ? "?" : std::to_string(key.second)) << "  "
              << key.first << "\n";
  }
}

void PrintLate(const LogSummaryReport& report) {
  std::cout << "\nlate jobs  by s, together  priority  first cause\n";
  for (const LateJobsByCause& jobs : report.late_jobs) {
    std::cout << std::setw(9) << jobs.jobs << std::setw(16)
              << ToSeconds(jobs.total_lateness) << std::setw(10)
              << jobs.priority << "  " << jobs.cause << "\n";
  }
}

void PrintDiscarded(const LogSummaryReport& report) {
  std::cout
      << "\nthrown away, accelerator s       kept   runs  priority  cause\n";
  for (const DiscardedRuns& runs : report.discarded_runs) {
    std::cout << std::setw(26) << ToSeconds(runs.lost_accelerator_time)
              << std::setw(11) << ToSeconds(runs.kept_accelerator_time)
              << std::setw(7) << runs.runs << std::setw(10) << runs.priority
              << "  " << runs.cause << "\n";
  }
}

// Times count from the first line about fragmentation.
void PrintFragmentation(const LogSummaryReport& report) {
  if (report.fragmentation.empty()) return;
  WallTime first = report.fragmentation.front().begin;
  for (const FragmentationInterval& interval : report.fragmentation) {
    first = std::min(first, interval.begin);
  }
  std::cout
      << "\nwhile steps waited, from s  idle accelerators  unusable share "
         "of them  at most  service\n";
  for (const FragmentationInterval& interval : report.fragmentation) {
    std::cout << std::setw(26) << ToSeconds(interval.begin - first)
              << std::setw(19) << interval.idle_accelerators << std::setw(24)
              << interval.unusable_share << std::setw(9)
              << interval.max_unusable_share << "  " << interval.service
              << "\n";
  }
}

void PrintJobs(const LogSummaryReport& report) {
  std::cout << "\nnot completed, and those that waited longest\n";
  size_t completed = 0;
  for (const JobSummary& job : report.jobs) {
    if (job.completed() && ++completed > kMaxSlowestJobs) break;
    std::cout << job.job << "  "
              << (job.state.empty() ? "state not known" : job.state)
              << "  lasted " << ToSeconds(job.duration) << " s";
    for (const auto& [cause, length] : job.waits) {
      std::cout << "; " << ToSeconds(length) << " s " << cause;
    }
    std::cout << "\n";
  }
}

int Summarize(const CommandContext& context) {
  LogSummary summary;
  if (!ReadFiles(context.arguments, 0, &summary)) return kExitUsage;
  const LogSummaryReport report = summary.Report();
  if (context.json) {
    PrintJson(ToJson(report));
    return kExitOk;
  }
  std::cout << std::fixed << std::setprecision(2);
  PrintCounts(report);
  PrintLate(report);
  PrintWaits(report);
  PrintDiscarded(report);
  PrintFragmentation(report);
  PrintJobs(report);
  return kExitOk;
}

}  // namespace

std::vector<Command> LogCommands() {
  return {
      {"logs", "explain", "ID FILE...",
       "Shows the events of a job or request from the logs of all entries, in "
       "order; lines with ~ are concurrent events that may have affected it. "
       "Sends no requests.",
       "thornplankctl logs explain 5c0e7a21d94b36f8 logs/*", 2, Explain},
      {"logs", "summary", "FILE...",
       "Shows from the logs of all entries which jobs were late and the first "
       "cause of each delay, what the steps of all jobs waited for, which work "
       "was discarded and why, how much idle capacity was of no use to the "
       "steps, and which jobs did not complete or waited longest. Sends no "
       "requests.",
       "thornplankctl logs summary logs/*", 1, Summarize},
  };
}

}  // namespace thornplank
