// JobManager's functions for HTTP handlers and peers: submissions,
// cancellations, reads and snapshots.
#include <algorithm>
#include <utility>

#include "jobs/job_manager_impl.h"
#include "logging/events/jobs_events.h"

namespace thornplank {
namespace {

using Clock = std::chrono::steady_clock;
using Outcome = JobChangeResult::Outcome;

// A caller waits this much longer than the deadline of its record, so that the
// outcome of the append is known first.
constexpr Milliseconds kReadBackMargin{500};

JobChangeResult NotRun(const std::string& reason) {
  return {Outcome::kNotRun, JobPhase::kWaiting, reason};
}

}  // namespace

void JobManager::Impl::Submit(const JobRequest& job, ChangeCallback callback) {
  const Time now = Clock::now();
  const std::string record_id = NewRecordId();
  std::optional<JobChangeResult> result;
  bool log_down = false;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const LogProblem problem = EvaluateLogHealth(now);
    log_down = problem != LogProblem::kNone;
    if (!state_.complete()) {
      result = NotRun("the job stream is not folded yet");
    } else if (state_.jobs().IsKnown(job.spec.id)) {
      result = SubmissionResult(state_.jobs(), job);
    } else if (draining_) {
      result = NotRun("this entry is stopping");
    } else if (log_down && job.spec.priority != Priority::kUrgent) {
      result = NotRun("the log is down (" + std::string(ToText(problem)) +
                      "); only urgent jobs are taken");
    } else if (!log_down) {
      waiters_.Add({record_id, job, false,
                    now + settings_.submit_timeout + kReadBackMargin,
                    callback});
    }
  }
  if (result) {
    callback(*result);
    return;
  }
  if (log_down) {
    urgent_->Submit(job, std::move(callback));
    return;
  }
  AppendSubmission(job, record_id, now + settings_.submit_timeout);
}

void JobManager::Impl::AppendSubmission(const JobRequest& job,
                                        const std::string& record_id,
                                        Time deadline) {
  writer_.Append(record_id, EncodeJobRecord(SubmittedRecord{job}), deadline,
                 [weak = weak_from_this(), id = job.spec.id, record_id](
                     AppendState state, int64_t, const Error& error) {
                   // If the record was appended, or may have been, the waiter
                   // is answered when the record is read back.
                   if (state != AppendState::kNotAppended) return;
                   if (const auto self = weak.lock()) {
                     self->HandleAppendFailure(id, record_id, error);
                   }
                 });
}

void JobManager::Impl::HandleAppendFailure(const std::string& job,
                                           const std::string& record_id,
                                           const Error& error) {
  std::vector<JobWaiters::Waiter> waiters;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    waiters = waiters_.TakeByRecord(job, record_id);
  }
  for (JobWaiters::Waiter& waiter : waiters) {
    if (!waiter.until_final && waiter.job.spec.priority == Priority::kUrgent) {
      urgent_->Submit(waiter.job, std::move(waiter.callback));
      continue;
    }
    FailWaiter(std::move(waiter), true, error.ToString());
  }
}

void JobManager::Impl::FailWaiter(JobWaiters::Waiter waiter,
                                  bool proved_not_appended,
                                  const std::string& reason) {
  const Outcome outcome =
      proved_not_appended ? Outcome::kNotRun : Outcome::kUnknown;
  waiter.callback({outcome, JobPhase::kWaiting, reason});
}

void JobManager::Impl::Cancel(const std::string& id, const std::string& by,
                              ChangeCallback callback) {
  const Time now = Clock::now();
  const std::string record_id = NewRecordId();
  std::optional<JobChangeResult> result;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const JobEntry* entry = state_.jobs().Find(id);
    if (entry != nullptr && IsFinal(entry->phase)) {
      result = {Outcome::kAccepted, entry->phase, entry->reason};
    } else if (IsLogDown(now) || entry == nullptr) {
      result = NotRun("the log is down");
    } else {
      JobRequest job;
      job.spec.id = id;
      waiters_.Add({record_id, job, true,
                    now + settings_.submit_timeout + kReadBackMargin,
                    callback});
    }
  }
  if (result) {
    callback(*result);
    return;
  }
  writer_.Append(record_id, EncodeJobRecord(CancelledRecord{id, by}),
                 now + settings_.submit_timeout,
                 [weak = weak_from_this(), id, record_id](
                     AppendState state, int64_t, const Error& error) {
                   if (state != AppendState::kNotAppended) return;
                   if (const auto self = weak.lock()) {
                     self->HandleAppendFailure(id, record_id, error);
                   }
                 });
}

std::optional<JobEntry> JobManager::Impl::Find(const std::string& id) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const JobEntry* entry = state_.jobs().Find(id);
  if (entry != nullptr) return *entry;
  const auto held = held_urgent_jobs_.find(id);
  if (held == held_urgent_jobs_.end()) return std::nullopt;
  return MakeHeldEntry(held->second);
}

std::vector<JobEntry> JobManager::Impl::List(const std::string& account,
                                             size_t limit) const {
  std::vector<JobEntry> found;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const auto& [id, entry] : state_.jobs().jobs()) {
      if (!account.empty() && entry.request.spec.account != account) continue;
      found.push_back(entry);
    }
    for (const auto& [id, job] : held_urgent_jobs_) {
      if (!account.empty() && job.spec.account != account) continue;
      found.push_back(MakeHeldEntry(job));
    }
  }
  std::sort(found.begin(), found.end(),
            [](const JobEntry& left, const JobEntry& right) {
              return left.request.spec.submitted_order <
                     right.request.spec.submitted_order;
            });
  if (found.size() > limit) {
    found.erase(found.begin(),
                found.end() - static_cast<std::ptrdiff_t>(limit));
  }
  return found;
}

std::optional<std::string> JobManager::Impl::CheckCanRun(
    const JobSpec& job) const {
  std::shared_ptr<const PlanningInputs> inputs;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    inputs = inputs_;
  }
  if (inputs->workers.empty()) return std::nullopt;
  return CheckJobCanEverRun(job, inputs->workers, inputs->guarantees);
}

std::string JobManager::Impl::NewJobId() { return "job-" + NewRecordId(); }

bool JobManager::Impl::ready() const { return not_ready_reason().empty(); }

std::string JobManager::Impl::not_ready_reason() const {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (!state_.complete()) return "the job stream has no snapshot to begin at";
    if (restored_from_peer_) return "";
  }
  if (!follower_ || !follower_->caught_up()) {
    return "the job stream has not been read to its end";
  }
  return "";
}

bool JobManager::Impl::is_coordinator() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return coordinator_ != nullptr;
}

CoordinatorEpoch JobManager::Impl::current_epoch() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return state_.epochs().current();
}

int64_t JobManager::Impl::jobs_offset() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return state_.next_offset();
}

size_t JobManager::Impl::open_jobs() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return state_.jobs().jobs().size() - state_.jobs().final_job_count();
}

Json JobManager::Impl::ProduceSnapshot() const {
  // Otherwise two entries that join while the log is down could make each other
  // ready with incomplete states.
  if (!ready()) return Json();
  std::vector<SnapshotPartRecord> parts;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    parts = state_.MakeSnapshot("peer", settings_.snapshot_jobs_per_part);
  }
  if (parts.empty()) return Json();
  Json array = Json::array();
  for (const SnapshotPartRecord& part : parts) {
    array.push_back(EncodeJobRecord(part));
  }
  return {{"parts", std::move(array)}};
}

bool JobManager::Impl::ConsumeSnapshot(const Json& snapshot, Error* error) {
  std::vector<SnapshotPartRecord> parts;
  const Json* array = ArrayField(snapshot, "parts");
  if (array != nullptr) {
    for (const Json& item : *array) {
      const std::optional<JobStreamRecord> record = DecodeJobRecord(item);
      if (!record) continue;
      if (!std::holds_alternative<SnapshotPartRecord>(*record)) continue;
      parts.push_back(std::get<SnapshotPartRecord>(*record));
    }
  }
  const bool whole =
      !parts.empty() && parts.size() == static_cast<size_t>(parts[0].parts);
  if (!whole) {
    SetError(error, "read job snapshot", "", "the snapshot is not whole");
    return false;
  }
  JobWaiters::Answers answers;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const bool restored = state_.Restore(parts);
    restored_from_peer_ = state_.complete();
    if (!restored) return true;
    HandleStreamChange({JobStreamChange::Kind::kRestored, ""}, Clock::now(),
                       &answers);
  }
  for (const auto& answer : answers) answer();
  return true;
}

LogProblem JobManager::Impl::EvaluateLogHealth(Time now) const {
  if (!follower_) return LogProblem::kNotRead;
  const std::optional<Time> failing =
      writer_.pending() == 0 ? std::nullopt : writer_.failing_since();
  return log_health_.Evaluate(follower_->last_success(), failing, now);
}

// The submission is queued for the stream before the scheduler gets the job,
// since the record of a placement is ignored if it precedes the submission.
bool JobManager::Impl::PlanUrgent(const JobRequest& job) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (!coordinator_ || verifying_epoch_) return false;
    if (state_.jobs().IsKnown(job.spec.id)) return true;
  }
  HoldUrgent(job);
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (coordinator_) coordinator_->Submit(MakeHeldEntry(job), Clock::now());
  }
  ScheduleTurn();
  return true;
}

void JobManager::Impl::HoldUrgent(const JobRequest& job) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (state_.jobs().IsKnown(job.spec.id)) return;
    if (!held_urgent_jobs_.emplace(job.spec.id, job).second) return;
  }
  writer_.Append(NewRecordId(), EncodeJobRecord(SubmittedRecord{job}),
                 Clock::now() + settings_.append_timeout,
                 [](AppendState state, int64_t, const Error& error) {
                   if (state == AppendState::kAppended) return;
                   LogEvent(events::kJobRecordLost, error);
                 });
}

// The job is ordered after all jobs that were read from the stream.
JobEntry JobManager::Impl::MakeHeldEntry(const JobRequest& job) const {
  JobEntry entry;
  entry.request = job;
  entry.request.spec.submitted_order = state_.next_offset();
  entry.reason = "held until the log is back";
  entry.submitted_at = std::chrono::system_clock::now();
  return entry;
}

std::string JobManager::Impl::NewRecordId() {
  return RecordIdPrefix() + std::to_string(next_id_.fetch_add(1));
}

std::string JobManager::Impl::RecordIdPrefix() const {
  return settings_.name + "-" + settings_.incarnation + "-";
}

bool JobManager::Impl::IsOwnRecord(const std::string& record_id) const {
  const std::string prefix = RecordIdPrefix();
  return record_id.compare(0, prefix.size(), prefix) == 0;
}

}  // namespace thornplank
