// Follows each job through the lines, in order of time.
#include "logging/log_summary.h"

#include <algorithm>
#include <array>
#include <utility>

#include "logging/events/coordination_events.h"

namespace thornplank {
namespace {

constexpr std::array<const Event*, 12> kWanted = {
    &events::kLeadershipAcquired, &events::kLeadershipLost,
    &events::kLeadershipReleased, &events::kJobAccepted,
    &events::kJobCancelled,       &events::kJobState,
    &events::kTasksPlaced,        &events::kStopOrdered,
    &events::kRunEnded,           &events::kStepWaits,
    &events::kJobRefused,         &events::kJobUndecided};

// Causes that no line names.
constexpr char kNotDecided[] = "not yet decided";
constexpr char kNoLeader[] = "no leader";

// Reasons name the step that gets the room; the cause is the same for all.
std::string CauseOf(const std::string& reason) {
  constexpr std::string_view kForUrgent = "gives way to urgent";
  if (reason.compare(0, kForUrgent.size(), kForUrgent) != 0) return reason;
  return std::string(kForUrgent);
}

std::string TextOf(const LogLine& line, const char* field) {
  return StringField(line.fields, field).value_or("");
}

// JOB of JOB.K.STEP or JOB.K.STEP.TASK.
std::string JobOf(const std::string& id) { return id.substr(0, id.find('.')); }

std::string StepOf(const std::string& task) {
  return task.substr(0, task.rfind('.'));
}

class Fold {
 public:
  void Apply(const LogLine& line) {
    const int event = line.event;
    if (event == events::kLeadershipAcquired.number)
      return OnLead(line.time, true);
    if (event == events::kLeadershipLost.number ||
        event == events::kLeadershipReleased.number) {
      return OnLead(line.time, false);
    }
    if (event == events::kStepWaits.number) return OnStepWaits(line);
    if (event == events::kTasksPlaced.number) return OnTasksPlaced(line);
    if (event == events::kStopOrdered.number) return OnStopOrdered(line);
    if (event == events::kRunEnded.number) return OnRunEnded(line);
    const std::string job = TextOf(line, "job");
    if (event == events::kJobRefused.number ||
        event == events::kJobUndecided.number) {
      return OnRefused(job, line);
    }
    if (event == events::kJobAccepted.number) return OnAccepted(job, line);
    if (event == events::kJobState.number) {
      return OnState(job, TextOf(line, "state"), line.time);
    }
    OnState(job, "cancelled", line.time);
  }

  LogSummaryReport Report() {
    LogSummaryReport report;
    for (auto& [id, job] : jobs_) {
      job.summary.duration = job.last - job.accepted;
      for (const auto& [step, wait] : job.waits) {
        Count(&job, wait, job.last);
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
    report.late_jobs = late_.Report();
    return report;
  }

 private:
  struct Wait {
    WallTime since{};
    std::string cause;
  };
  struct JobStory {
    JobSummary summary;
    WallTime accepted{};
    WallTime last{};
    bool ended = false;
    // By step; "" until one of them is named.
    std::map<std::string, Wait> waits;
  };
  struct StepNeed {
    int64_t priority = 0;
    int64_t accelerators = 0;
  };

  // The job, from the first line that accepts or places it. A leader may place
  // it just before the entry that took it tells so. Null after its end.
  JobStory* Begin(const std::string& id, WallTime time) {
    const auto [found, first] = jobs_.try_emplace(id);
    if (first) {
      found->second.summary.job = id;
      found->second.accepted = time;
    }
    return Open(id, time);
  }

  // The job, if its begin is in the logs and its end is not yet.
  JobStory* Open(const std::string& id, WallTime time) {
    const auto found = jobs_.find(id);
    if (found == jobs_.end() || found->second.ended) return nullptr;
    found->second.last = time;
    return &found->second;
  }

  void Count(JobStory* job, const Wait& wait, WallTime until) {
    if (until <= wait.since) return;
    job->summary.waits[wait.cause] += until - wait.since;
    late_.OnDelay(job->summary.job, wait.cause, until - wait.since);
  }

  void EndWait(JobStory* job, const std::string& step, WallTime time) {
    for (const std::string& key : {std::string(), step}) {
      const auto wait = job->waits.find(key);
      if (wait == job->waits.end()) continue;
      Count(job, wait->second, time);
      job->waits.erase(wait);
    }
  }

  void OnRefused(const std::string& id, const LogLine& line) {
    if (TextOf(line, "method") != "POST") return;
    late_.OnRefused(id, TextOf(line, "cause"), line.time);
  }

  void OnAccepted(const std::string& id, const LogLine& line) {
    const Milliseconds objective(
        IntField(line.fields, "objective_ms").value_or(0));
    late_.OnAccepted(id, TextOf(line, "account"), line.instance, objective,
                     line.time);
    if (jobs_.count(id) > 0) return;
    Begin(id, line.time)->waits[""] = {line.time,
                                       leaderless_ ? kNoLeader : kNotDecided};
  }

  void OnState(const std::string& id, const std::string& state, WallTime time) {
    JobStory* job = Open(id, time);
    if (job == nullptr) return;
    job->summary.state = state;
    if (state == "queued" || state == "running") return;
    for (const auto& [step, wait] : job->waits) {
      Count(job, wait, time);
    }
    job->waits.clear();
    job->ended = true;
    if (!job->summary.completed()) return;
    late_.OnCompleted(id, job->summary.priority.value_or(0), time);
  }

  // Who waits while nobody leads waits for that, whatever was told before. A
  // leader that was killed does not say so: then just those that nothing was
  // told of are known to have waited for the next one.
  void OnLead(WallTime time, bool taken) {
    leaderless_ = !taken;
    for (auto& [id, job] : jobs_) {
      for (auto& [step, wait] : job.waits) {
        if (taken && wait.cause == kNotDecided) wait.cause = kNoLeader;
        Count(&job, wait, time);
        wait = {time, taken ? kNotDecided : kNoLeader};
      }
    }
  }

  void OnStepWaits(const LogLine& line) {
    const std::string step = TextOf(line, "step");
    JobStory* job = Begin(JobOf(step), line.time);
    if (job == nullptr) return;
    job->summary.priority = IntField(line.fields, "priority");
    EndWait(job, step, line.time);
    job->waits[step] = {line.time, TextOf(line, "reason")};
  }

  void OnTasksPlaced(const LogLine& line) {
    const std::string step = TextOf(line, "step");
    needs_[step] = {IntField(line.fields, "priority").value_or(0),
                    IntField(line.fields, "accelerators").value_or(0)};
    JobStory* job = Begin(JobOf(step), line.time);
    if (job == nullptr) return;
    job->summary.priority = needs_[step].priority;
    EndWait(job, step, line.time);
  }

  void OnStopOrdered(const LogLine& line) {
    stops_[{TextOf(line, "task"), IntField(line.fields, "run").value_or(0)}] =
        CauseOf(TextOf(line, "reason"));
  }

  void OnRunEnded(const LogLine& line) {
    if (!BoolField(line.fields, "in_force").value_or(false)) return;
    const std::string task = TextOf(line, "task");
    std::string cause = TextOf(line, "end");
    if (cause == "done") return;
    const auto stop =
        stops_.find({task, IntField(line.fields, "run").value_or(0)});
    if (cause == "stopped" && stop != stops_.end()) cause = stop->second;
    const std::string step = StepOf(task);
    const StepNeed need = needs_[step];
    DiscardedRuns& runs = discarded_[{need.priority, cause}];
    runs.cause = cause;
    runs.priority = need.priority;
    ++runs.runs;
    const int64_t lasted = IntField(line.fields, "lasted_ms").value_or(0);
    const int64_t kept = IntField(line.fields, "kept_ms").value_or(0);
    runs.lost_accelerator_time +=
        Milliseconds(lasted - kept) * need.accelerators;
    runs.kept_accelerator_time += Milliseconds(kept) * need.accelerators;
    JobStory* job = Open(JobOf(task), line.time);
    if (job == nullptr) return;
    late_.OnRunLost(JobOf(task), step, IntField(line.fields, "run").value_or(0),
                    cause, Milliseconds(lasted - kept));
    job->waits.insert({step, {line.time, "again: " + cause}});
  }

  bool leaderless_ = false;
  LateJobs late_;
  std::map<std::string, JobStory> jobs_;
  std::map<std::string, StepNeed> needs_;
  // Why a run was told to stop, by task and run.
  std::map<std::pair<std::string, int64_t>, std::string> stops_;
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
  std::optional<LogLine> line = ReadLogLine(text);
  if (!line) return false;
  const bool wanted = std::any_of(
      kWanted.begin(), kWanted.end(),
      [&line](const Event* event) { return event->number == line->event; });
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
  Fold fold;
  for (const LogLine* line : ordered) {
    fold.Apply(*line);
  }
  return fold.Report();
}

}  // namespace thornplank
