// Submits and polls the jobs through the blocking client.
#include "loadgen/job_load.h"

#include <algorithm>
#include <map>
#include <thread>
#include <utility>

#include "client/api_client.h"

namespace thornplank {
namespace {

constexpr Milliseconds kPollInterval{50};

struct TrackedJob {
  JobHistoryRecord record;
  Time deadline;
};

bool IsFinalPhase(const std::string& phase) {
  return phase == "finished" || phase == "cancelled" || phase == "failed";
}

std::vector<Duration> PlanTimes(const JobLoadSettings& settings) {
  std::vector<Duration> times;
  const double seconds =
      std::chrono::duration<double>(settings.duration).count();
  const auto steady = static_cast<size_t>(settings.rate * seconds);
  for (size_t i = 0; i < steady; ++i) {
    times.push_back(std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(static_cast<double>(i) / settings.rate)));
  }
  times.insert(times.end(), static_cast<size_t>(settings.burst),
               settings.burst_at);
  std::sort(times.begin(), times.end());
  return times;
}

class JobLoad {
 public:
  explicit JobLoad(const JobLoadSettings& settings)
      : settings_(settings), api_(ClientSettings(settings)) {}

  std::vector<JobHistoryRecord> Run() {
    const Time start = std::chrono::steady_clock::now();
    for (Duration at : PlanTimes(settings_)) {
      while (std::chrono::steady_clock::now() < start + at) PollOnce();
      Submit();
    }
    while (!active_jobs_.empty()) PollOnce();
    return std::move(ended_jobs_);
  }

 private:
  static ApiClientSettings ClientSettings(const JobLoadSettings& settings) {
    ApiClientSettings client;
    client.entries = settings.entries;
    client.token = settings.token;
    client.account = settings.account;
    return client;
  }

  void Submit() {
    JobHistoryRecord record;
    record.id = settings_.name + "-job-" + std::to_string(submitted_++);
    const Json job = {{"id", record.id},
                      {"name", settings_.name},
                      {"account", settings_.account},
                      {"members", settings_.members},
                      {"accelerators", settings_.accelerators},
                      {"adjacency", settings_.adjacency},
                      {"priority", settings_.priority},
                      {"run_time_ms", settings_.run_time.count()},
                      {"task", {{"run_ms", settings_.run_time.count()}}}};
    const auto response =
        api_.Send("POST", "/v1/jobs", job.dump(), HttpHeaders(), nullptr);
    if (response.has_value() && response->status == 202) {
      active_jobs_.push_back(
          {std::move(record),
           std::chrono::steady_clock::now() + settings_.deadline});
      return;
    }
    record.phase = response.has_value() ? "refused" : "no-answer";
    ended_jobs_.push_back(std::move(record));
  }

  // Polls the job that was polled least recently, then sleeps. The sleep is
  // divided by the number of active jobs, so that each is polled about once per
  // kPollInterval.
  void PollOnce() {
    if (!active_jobs_.empty()) {
      std::rotate(active_jobs_.begin(), active_jobs_.begin() + 1,
                  active_jobs_.end());
      RefreshStatus(&active_jobs_.back());
      const TrackedJob& job = active_jobs_.back();
      const bool over = IsFinalPhase(job.record.phase) ||
                        std::chrono::steady_clock::now() > job.deadline;
      if (over) {
        ended_jobs_.push_back(job.record);
        active_jobs_.pop_back();
      }
    }
    std::this_thread::sleep_for(
        kPollInterval /
        std::max<int>(1, static_cast<int>(active_jobs_.size())));
  }

  void RefreshStatus(TrackedJob* job) {
    const auto response = api_.Send("GET", "/v1/jobs/" + job->record.id, "",
                                    HttpHeaders(), nullptr);
    if (!response.has_value() || response->status != 200) return;
    const Json status = ParseJson(response->body).value_or(Json());
    job->record.phase = StringField(status, "phase").value_or("");
    job->record.submitted_ms = IntField(status, "submitted_ms").value_or(0);
    job->record.running_ms = IntField(status, "running_ms").value_or(0);
    job->record.ended_ms = IntField(status, "ended_ms").value_or(0);
  }

  const JobLoadSettings settings_;
  ApiClient api_;
  int submitted_ = 0;
  std::vector<TrackedJob> active_jobs_;
  std::vector<JobHistoryRecord> ended_jobs_;
};

Json Distribution(std::vector<int64_t> values) {
  std::sort(values.begin(), values.end());
  const auto at = [&values](double share) -> int64_t {
    if (values.empty()) return 0;
    return values[static_cast<size_t>(share *
                                      static_cast<double>(values.size() - 1))];
  };
  return {{"count", values.size()},
          {"p50_ms", at(0.5)},
          {"p90_ms", at(0.9)},
          {"p99_ms", at(0.99)},
          {"max_ms", at(1.0)}};
}

}  // namespace

std::vector<JobHistoryRecord> RunJobLoad(const JobLoadSettings& settings) {
  return JobLoad(settings).Run();
}

Json ToJson(const JobHistoryRecord& record) {
  return {{"id", record.id},
          {"phase", record.phase},
          {"submitted_ms", record.submitted_ms},
          {"running_ms", record.running_ms},
          {"ended_ms", record.ended_ms}};
}

Json SummarizeJobs(const std::vector<JobHistoryRecord>& history) {
  std::map<std::string, int> phases;
  std::vector<int64_t> waits;
  std::vector<int64_t> completions;
  for (const JobHistoryRecord& record : history) {
    ++phases[record.phase];
    if (record.phase != "finished") continue;
    waits.push_back(record.running_ms - record.submitted_ms);
    completions.push_back(record.ended_ms - record.submitted_ms);
  }
  return {{"jobs", history.size()},
          {"phases", phases},
          {"wait", Distribution(waits)},
          {"completion", Distribution(completions)}};
}

}  // namespace thornplank
