// Jobs that are given up.
#include "impatient_caller.h"

#include <cstdio>
#include <iterator>
#include <thread>
#include <utility>
#include <vector>

namespace thornplank {
namespace {

constexpr int kAccepted = 200;
constexpr int kRefused = 503;
constexpr int kGone = 410;
constexpr Milliseconds kPause{100};
constexpr int kCancelAttempts = 4;
// From the append of a late submission until the store carries it out; beyond
// the time within which a task of a cancelled job may still start, too.
constexpr int kLateMs[] = {1800, 4000, 6000};
// On average one of this many submissions is not late.
constexpr int kJobsPerPunctual = 3;
// On average one of this many jobs is submitted again after it was given up.
constexpr int kJobsPerRepetition = 2;

int64_t ClockMs() {
  return std::chrono::duration_cast<Milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

}  // namespace

ImpatientCaller::ImpatientCaller(HostedCluster* cluster, uint32_t seed,
                                 std::string id_prefix)
    : cluster_(cluster), id_prefix_(std::move(id_prefix)), random_(seed) {}

int ImpatientCaller::Draw(int below) {
  return static_cast<int>(random_() % static_cast<uint32_t>(below));
}

TestJob ImpatientCaller::DrawJob(int number) {
  TestJob job;
  char digits[9];
  std::snprintf(digits, sizeof(digits), "%08x", number + 1);
  job.id = id_prefix_ + digits;
  job.priority = Draw(3);
  job.work_ms = 50 + Draw(800);
  TestStep step;
  step.count = 1 + Draw(3);
  TestStep second = step;
  second.depends_on = {0};
  job.steps = {step, second};
  return job;
}

void ImpatientCaller::Run(const std::atomic<bool>& done) {
  const int entries = cluster_->settings().entries;
  for (int number = 0; !done; ++number) {
    std::this_thread::sleep_for(kPause);
    SubmittedJob submitted;
    submitted.job = DrawJob(number);
    submitted.refused = true;
    const bool is_late = Draw(kJobsPerPunctual) != 0;
    const int late_ms = kLateMs[Draw(static_cast<int>(std::size(kLateMs)))];
    const int entry = Draw(entries);
    const bool repeats = Draw(kJobsPerRepetition) == 0;
    cluster_->ControlStore(
        {{"late_key", is_late ? "j" + submitted.job.id : std::string()},
         {"late_ms", late_ms}});
    Submit(entry, &submitted);
    const bool unanswered = !submitted.accepted && !submitted.refused;
    const bool unknown = unanswered && Cancel(entry + 1, &submitted);
    if (unknown) ++unknown_;
    if (unknown && repeats) Submit(entry + 2, &submitted);
    jobs_[submitted.job.id] = submitted;
  }
  cluster_->ControlStore({{"late_key", ""}, {"late_ms", kLateMs[0]}});
}

void ImpatientCaller::Submit(int entry, SubmittedJob* job) {
  const int status =
      cluster_->Submit(entry % cluster_->settings().entries, job->job);
  job->accepted = job->accepted || status == kAccepted;
  job->refused = job->refused && status == kRefused;
}

bool ImpatientCaller::Cancel(int entry, SubmittedJob* job) {
  cancelled_.insert(job->job.id);
  for (int attempt = 0; attempt < kCancelAttempts; ++attempt) {
    const int status = cluster_->Cancel(
        (entry + attempt) % cluster_->settings().entries, job->job);
    if (status != kAccepted && status != kGone) continue;
    job->cancelled_ms = ClockMs();
    return status == kGone;
  }
  return false;
}

}  // namespace thornplank
