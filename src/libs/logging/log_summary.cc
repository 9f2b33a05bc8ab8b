// Replays the lines in order of time and tracks the waits of each job.
#include "logging/log_summary.h"

#include <algorithm>
#include <array>
#include <utility>

#include "logging/events/coordination_events.h"

namespace thornplank {
namespace {

constexpr std::array<const Event*, 14> kRelevantEvents = {
    &events::kLeadershipAcquired, &events::kLeadershipLost,
    &events::kLeadershipReleased, &events::kJobAccepted,
    &events::kJobCancelled,       &events::kJobState,
    &events::kTasksPlaced,        &events::kStopOrdered,
    &events::kRunEnded,           &events::kStepWaits,
    &events::kJobRefused,         &events::kJobUndecided,
    &events::kFragmentation,      &events::kStartOverdue};

// Causes of waits that no line states.
constexpr char kNotYetDecided[] = "not yet decided";
constexpr char kNoLeader[] = "no leader";
// Followed by the reason that a line states.
constexpr char kBesideIdleRoom[] = "beside idle room: ";

// The reason of a preemption ends with the step that gets the room; the cause
// omits it, so that all preemptions are summed up. Those of urgent runs, which
// only steps of other accounts stop, are a cause of their own.
std::string CauseOf(const std::string& reason, int64_t priority) {
  constexpr std::string_view kPreemption = "gives way to urgent";
  constexpr std::string_view kOfEqual =
      "gives way to urgent work of another account";
  if (reason.compare(0, kPreemption.size(), kPreemption) != 0) return reason;
  return std::string(priority == 0 ? kOfEqual : kPreemption);
}

std::string TextField(const LogLine& line, const char* field) {
  return StringField(line.fields, field).value_or("");
}

// Returns JOB of an id JOB.K.STEP or JOB.K.STEP.TASK.
std::string JobOf(const std::string& id) { return id.substr(0, id.find('.')); }

// Returns JOB.K.STEP of an id JOB.K.STEP.TASK.
std::string StepOf(const std::string& task) {
  return task.substr(0, task.rfind('.'));
}

class SummaryBuilder {
 public:
  void Apply(const LogLine& line) {
    const int event = line.event_number;
    if (event == events::kLeadershipAcquired.number) {
      return OnLeadershipChange(line.time, true);
    }
    if (event == events::kLeadershipLost.number ||
        event == events::kLeadershipReleased.number) {
      return OnLeadershipChange(line.time, false);
    }
    if (event == events::kFragmentation.number) return fragmentation_.Add(line);
    if (event == events::kStepWaits.number) return OnStepWaits(line);
    if (event == events::kStartOverdue.number) return OnStartOverdue(line);
    if (event == events::kTasksPlaced.number) return OnTasksPlaced(line);
    if (event == events::kStopOrdered.number) return OnStopOrdered(line);
    if (event == events::kRunEnded.number) return OnRunEnded(line);
    const std::string job = TextField(line, "job");
    if (event == events::kJobRefused.number ||
        event == events::kJobUndecided.number) {
      return OnRefused(job, line);
    }
    if (event == events::kJobAccepted.number) return OnAccepted(job, line);
    if (event == events::kJobState.number) {
      return OnState(job, TextField(line, "state"), line.time);
    }
    OnState(job, "cancelled", line.time);
  }

  LogSummaryReport Report() {
    LogSummaryReport report;
    for (auto& [id, job] : jobs_) {
      job.summary.duration = job.last_seen - job.first_seen;
      for (const auto& [step, wait] : job.open_waits) {
        AddWait(&job, wait, job.last_seen);
      }
      report.jobs.push_back(std::move(job.summary));
    }
    std::stable_sort(report.jobs.begin(), report.jobs.end(),
                     [](const JobSummary& a, const JobSummary& b) {
                       if (a.completed() != b.completed()) return b.completed();
                       return a.waited() > b.waited();
                     });
    for (auto& [key, runs] : discarded_) {
      report.discarded_runs.push_back(std::move(runs));
    }
    std::stable_sort(report.discarded_runs.begin(), report.discarded_runs.end(),
                     [](const DiscardedRuns& a, const DiscardedRuns& b) {
                       return a.lost_accelerator_time > b.lost_accelerator_time;
                     });
    report.late_jobs = late_jobs_.Report();
    report.fragmentation = fragmentation_.Report();
    return report;
  }

 private:
  struct Wait {
    WallTime since{};
    std::string cause;
  };
  struct JobState {
    JobSummary summary;
    WallTime first_seen{};
    WallTime last_seen{};
    bool ended = false;
    // Waits that have not ended, by step; the key is "" until a line names a
    // step of the job.
    std::map<std::string, Wait> open_waits;
  };
  struct StepDemand {
    int64_t priority = 0;
    int64_t accelerators = 0;
  };

  // Returns the job, which is added if it is new, or null after its end. The
  // first line of a job may be its acceptance or its placement: a leader may
  // place a job just before the entry logs that it has accepted it.
  JobState* FindOrAddJob(const std::string& id, WallTime time) {
    const auto [found, inserted] = jobs_.try_emplace(id);
    if (inserted) {
      found->second.summary.job = id;
      found->second.first_seen = time;
    }
    return FindActiveJob(id, time);
  }

  // Returns the job, or null if no line has added it yet or it has ended.
  JobState* FindActiveJob(const std::string& id, WallTime time) {
    const auto found = jobs_.find(id);
    if (found == jobs_.end() || found->second.ended) return nullptr;
    found->second.last_seen = time;
    return &found->second;
  }

  void AddWait(JobState* job, const Wait& wait, WallTime until) {
    if (until <= wait.since) return;
    job->summary.waits[wait.cause] += until - wait.since;
    late_jobs_.OnDelay(job->summary.job, wait.cause, until - wait.since);
  }

  void EndWait(JobState* job, const std::string& step, WallTime time) {
    for (const std::string& key : {std::string(), step}) {
      const auto wait = job->open_waits.find(key);
      if (wait == job->open_waits.end()) continue;
      AddWait(job, wait->second, time);
      job->open_waits.erase(wait);
    }
  }

  void OnRefused(const std::string& id, const LogLine& line) {
    if (TextField(line, "method") != "POST") return;
    late_jobs_.OnRefused(id, TextField(line, "cause"), line.time);
  }

  void OnAccepted(const std::string& id, const LogLine& line) {
    const Milliseconds objective(
        IntField(line.fields, "objective_ms").value_or(0));
    late_jobs_.OnAccepted(id, TextField(line, "account"), line.instance,
                          objective, line.time);
    if (jobs_.count(id) > 0) return;
    FindOrAddJob(id, line.time)->open_waits[""] = {
        line.time, has_no_leader_ ? kNoLeader : kNotYetDecided};
  }

  void OnState(const std::string& id, const std::string& state, WallTime time) {
    JobState* job = FindActiveJob(id, time);
    if (job == nullptr) return;
    job->summary.state = state;
    if (state == "queued" || state == "running") return;
    for (const auto& [step, wait] : job->open_waits) {
      AddWait(job, wait, time);
    }
    job->open_waits.clear();
    job->ended = true;
    if (!job->summary.completed()) return;
    late_jobs_.OnCompleted(id, job->summary.priority.value_or(0), time);
  }

  // While there is no leader, every wait is attributed to that, whatever cause
  // was logged before. A leader that is killed does not log the loss of
  // leadership: then only the waits without a logged cause are known to have
  // been waits for the next leader.
  void OnLeadershipChange(WallTime time, bool acquired) {
    has_no_leader_ = !acquired;
    for (auto& [id, job] : jobs_) {
      for (auto& [step, wait] : job.open_waits) {
        if (acquired && wait.cause == kNotYetDecided) wait.cause = kNoLeader;
        AddWait(&job, wait, time);
        wait = {time, acquired ? kNotYetDecided : kNoLeader};
      }
    }
  }

  void OnStepWaits(const LogLine& line) {
    const std::string step = TextField(line, "step");
    JobState* job = FindOrAddJob(JobOf(step), line.time);
    if (job == nullptr) return;
    job->summary.priority = IntField(line.fields, "priority");
    EndWait(job, step, line.time);
    job->open_waits[step] = {line.time, TextField(line, "reason")};
  }

  // The step has waited for that long; what was logged before was no reason for
  // a wait without end.
  void OnStartOverdue(const LogLine& line) {
    const std::string step = TextField(line, "step");
    JobState* job = FindOrAddJob(JobOf(step), line.time);
    if (job == nullptr) return;
    const Milliseconds waited(IntField(line.fields, "waited_ms").value_or(0));
    Wait& wait = job->open_waits[step];
    if (wait.since == WallTime{}) wait.since = line.time - waited;
    wait.cause = kBesideIdleRoom + TextField(line, "reason");
  }

  void OnTasksPlaced(const LogLine& line) {
    const std::string step = TextField(line, "step");
    demands_[step] = {IntField(line.fields, "priority").value_or(0),
                      IntField(line.fields, "accelerators").value_or(0)};
    JobState* job = FindOrAddJob(JobOf(step), line.time);
    if (job == nullptr) return;
    job->summary.priority = demands_[step].priority;
    EndWait(job, step, line.time);
  }

  void OnStopOrdered(const LogLine& line) {
    const std::string task = TextField(line, "task");
    const auto demand = demands_.find(StepOf(task));
    // Of a run that was placed before the log begins, the priority is unknown.
    const int64_t priority =
        demand == demands_.end() ? -1 : demand->second.priority;
    stop_causes_[{task, IntField(line.fields, "run").value_or(0)}] =
        CauseOf(TextField(line, "reason"), priority);
  }

  void OnRunEnded(const LogLine& line) {
    if (!BoolField(line.fields, "in_force").value_or(false)) return;
    const std::string task = TextField(line, "task");
    std::string cause = TextField(line, "end");
    if (cause == "done") return;
    const auto stop =
        stop_causes_.find({task, IntField(line.fields, "run").value_or(0)});
    if (cause == "stopped" && stop != stop_causes_.end()) cause = stop->second;
    const std::string step = StepOf(task);
    const StepDemand demand = demands_[step];
    DiscardedRuns& runs = discarded_[{demand.priority, cause}];
    runs.cause = cause;
    runs.priority = demand.priority;
    ++runs.runs;
    const int64_t lasted = IntField(line.fields, "lasted_ms").value_or(0);
    const int64_t kept = IntField(line.fields, "kept_ms").value_or(0);
    runs.lost_accelerator_time +=
        Milliseconds(lasted - kept) * demand.accelerators;
    runs.kept_accelerator_time += Milliseconds(kept) * demand.accelerators;
    JobState* job = FindActiveJob(JobOf(task), line.time);
    if (job == nullptr) return;
    late_jobs_.OnRunLost(JobOf(task), step,
                         IntField(line.fields, "run").value_or(0), cause,
                         Milliseconds(lasted - kept));
    job->open_waits.insert({step, {line.time, "again: " + cause}});
  }

  bool has_no_leader_ = false;
  LateJobs late_jobs_;
  FragmentationCourse fragmentation_;
  std::map<std::string, JobState> jobs_;
  std::map<std::string, StepDemand> demands_;
  // Causes of the orders to stop a run, by task and run.
  std::map<std::pair<std::string, int64_t>, std::string> stop_causes_;
  std::map<std::pair<int64_t, std::string>, DiscardedRuns> discarded_;
};

}  // namespace

Duration JobSummary::waited() const {
  Duration sum{};
  for (const auto& [cause, length] : waits) {
    sum += length;
  }
  return sum;
}

bool LogSummary::Add(std::string_view text) {
  std::optional<LogLine> line = ParseLogLine(text);
  if (!line) return false;
  const bool wanted =
      std::any_of(kRelevantEvents.begin(), kRelevantEvents.end(),
                  [&line](const Event* event) {
                    return event->number == line->event_number;
                  });
  if (wanted) lines_.push_back(std::move(*line));
  return true;
}

LogSummaryReport LogSummary::Report() const {
  std::vector<const LogLine*> ordered;
  for (const LogLine& line : lines_) {
    ordered.push_back(&line);
  }
  std::stable_sort(
      ordered.begin(), ordered.end(),
      [](const LogLine* a, const LogLine* b) { return a->time < b->time; });
  SummaryBuilder builder;
  for (const LogLine* line : ordered) {
    builder.Apply(*line);
  }
  return builder.Report();
}

}  // namespace thornplank
