// Evaluates the evidence on runs and leases of one worker.
#include "workload/worker_tracker.h"

#include <algorithm>
#include <set>
#include <utility>

namespace thornplank {
namespace {

// The minimum rate of a worker's steady clock relative to ours (published).
constexpr double kMinClockRate = 0.98;
// Covers a late timer on the worker and the time to kill a run there.
constexpr Milliseconds kLeaseSlack{600};
constexpr int kDonePercent = 100;
// Callers' estimates may be wrong by a factor of two.
constexpr int kEstimateError = 2;
// With less progress, a rate is too coarse to use.
constexpr int kMinPercentForRate = 3;

// The end carries no checkpoint: that of the run was recorded when a report
// showed it. For a gang, a later checkpoint of another member may have been
// recorded since, which is valid for this run too.
RunEndReport MakeRunEnd(const TrackedRun& run, RunEnd end, Time now) {
  RunEndReport run_end;
  run_end.task = run.task;
  run_end.run = run.run;
  run_end.end = end;
  run_end.began = run.began;
  run_end.saved_work = run.saved_work("", now);
  run_end.kind = run.profile.kind();
  run_end.placed = run.placed;
  return run_end;
}

RunEnd ToRunEnd(IncarnationEnd end) {
  switch (end) {
    case IncarnationEnd::kLeft:
      return RunEnd::kWorkerLeft;
    case IncarnationEnd::kCrashed:
      return RunEnd::kWorkerCrashed;
    case IncarnationEnd::kSilent:
      return RunEnd::kWorkerSilent;
  }
  return RunEnd::kLost;
}

}  // namespace

RunKind RunProfile::kind() const {
  if (long_running) return RunKind::kLongRunning;
  return gang ? RunKind::kGangMember : RunKind::kSingle;
}

Duration TrackedRun::unsaved_work(Time now) const {
  if (began == Time{} || profile.checkpointable) return Duration::zero();
  return now - began;
}

bool TrackedRun::may_have_completed(Time now) const {
  // Without an estimate nothing is known of its end.
  if (profile.estimate <= Milliseconds::zero()) return false;
  // What a run had done before it resumed is not known before its first report.
  const bool is_unknown = resumed && !baseline;
  const Duration left = profile.estimate *
                        (is_unknown ? 0 : kDonePercent - percent) /
                        (kDonePercent * kEstimateError);
  return now - std::max(last_report, began) > left;
}

bool TrackedRun::has_proven_start(Time now) const {
  return stage == RunStage::kRunning && now - began >= kStartPhase;
}

Duration TrackedRun::saved_work(const std::string& end_checkpoint,
                                Time now) const {
  if (began == Time{}) return Duration::zero();
  // The checkpoint was made when the run ended, and the end is reported at
  // once.
  const bool made_at_end =
      !end_checkpoint.empty() && end_checkpoint != checkpoint;
  if (made_at_end) return now - began;
  return checkpoint_seen_at == Time{} ? Duration::zero()
                                      : checkpoint_seen_at - began;
}

// Both clocks may show too much: ours if the last report was late, the worker's
// if that before was.
Duration TrackedRun::idle_in_reports() const {
  const Duration by_our_clock = last_report - last_progress;
  if (report_clock <= progress_clock) return by_our_clock;
  return std::min<Duration>(by_our_clock, report_clock - progress_clock);
}

double TrackedRun::rate() const {
  const int done = percent - baseline_percent;
  if (!baseline || done < kMinPercentForRate) return 0;
  const double seconds =
      std::chrono::duration<double>(last_progress - *baseline).count();
  return seconds > 0 ? done / seconds : 0;
}

Duration TrackedRun::remaining(Time now) const {
  const double speed = rate();
  if (stage != RunStage::kRunning || speed <= 0) return Duration::max();
  const auto left = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>((kDonePercent - percent) / speed));
  return std::max(left - (now - last_progress), Duration::zero());
}

WorkerTracker::WorkerTracker(WorkerRegistration registration)
    : registration_(std::move(registration)) {}

void WorkerTracker::Update(WorkerRegistration registration, Time now) {
  const std::optional<WallTime>& start = registration.incarnation_start.time;
  const bool is_new = start && start != registration_.incarnation_start.time;
  // Until its first report, nothing is known of the incarnation that has begun.
  if (is_new && incarnation_.start() && start != incarnation_.start()) {
    synchronized_ = false;
  }
  if (registration.written != registration_.written) {
    entry_read_at_ = now;
    is_entry_of_other_clock_ = false;
  }
  registration_ = std::move(registration);
  missing_since_.reset();
  departure_.reset();
  if (registration_.draining) {
    departure_ = now + registration_.drain_remaining;
    const std::optional<WallTime>& listed =
        registration_.incarnation_start.time;
    announcement_ = {listed ? listed : incarnation_.start()};
    return;
  }
  // An entry of the same incarnation does not take the announcement back: it
  // may have been stored late. One of the next incarnation says nothing of the
  // runs of this one.
  const bool is_known = announcement_ && announcement_->incarnation_start &&
                        registration_.incarnation_start.time;
  if (!is_known) announcement_.reset();
}

bool WorkerTracker::has_announced_departure() const {
  if (!announcement_) return false;
  const std::optional<WallTime>& leaving = announcement_->incarnation_start;
  const std::optional<WallTime>& present = incarnation_.start();
  return !leaving || !present || *leaving == *present;
}

std::optional<DepartingWorker> WorkerTracker::departure() const {
  if (!has_announced_departure()) return std::nullopt;
  return DepartingWorker{id(), announcement_->incarnation_start};
}

void WorkerTracker::DropPastAnnouncement(const std::optional<WallTime>& start) {
  if (!announcement_) return;
  const std::optional<WallTime>& leaving = announcement_->incarnation_start;
  if (!leaving || leaving != start) announcement_.reset();
}

// By the slowest clock that the worker may have: the time since its last report
// may be long.
std::optional<Milliseconds> WorkerTracker::entry_age(Time now) const {
  if (!synchronized_ || !registration_.written) return std::nullopt;
  const Milliseconds since_report =
      std::chrono::duration_cast<Milliseconds>(now - last_report_at_);
  const auto elapsed = static_cast<int64_t>(
      static_cast<double>(since_report.count()) * kMinClockRate);
  return last_report_clock_ + Milliseconds(elapsed) - *registration_.written;
}

// An entry that was read before the report was requested cannot have been
// written later than the report, unless by another incarnation.
void WorkerTracker::CompareClocks(Milliseconds clock, Time sent, Time now) {
  if (sent >= last_report_at_ || clock >= last_report_clock_) {
    last_report_clock_ = clock;
    last_report_at_ = now;
  }
  if (registration_.written && entry_read_at_ <= sent) {
    is_entry_of_other_clock_ = *registration_.written > clock;
  }
}

bool WorkerTracker::IsEntryOutdated(Time now) const {
  if (entry_outdated_until_ && now < *entry_outdated_until_) return true;
  const std::optional<WallTime>& listed = registration_.incarnation_start.time;
  const std::optional<WallTime>& reported = incarnation_.start();
  if (listed && reported && *listed != *reported) return true;
  if (is_entry_of_other_clock_) return true;
  const std::optional<Milliseconds> age = entry_age(now);
  return max_entry_age_ && age && *age > *max_entry_age_;
}

void WorkerTracker::SetSpeed(double speed, Time now) {
  speed_ = speed;
  if (!IsSlowed()) {
    slow_since_.reset();
  } else if (!slow_since_) {
    slow_since_ = now;
  }
}

void WorkerTracker::Add(const TaskRef& task, int run, RunProfile profile,
                        Time now) {
  const auto replaced = runs_.find(task);
  if (replaced != runs_.end()) {
    other_use_ += replaced->second.profile.need;
    Erase(replaced);
  }
  TrackedRun tracked;
  tracked.task = task;
  tracked.run = run;
  tracked.profile = std::move(profile);
  tracked.stage_since = now;
  tracked.placed = now;
  used_ += tracked.profile.need;
  if (!tracked.profile.need_known) ++unknown_needs_;
  runs_[task] = std::move(tracked);
}

void WorkerTracker::Inherit(const TaskRef& task, int run, RunProfile profile,
                            Time now, Time lease_bound) {
  Add(task, run, std::move(profile), now);
  runs_[task].stage = RunStage::kInherited;
  runs_[task].pace = std::nullopt;
  runs_[task].placed = Time{};
  lease_bound_ = std::max(lease_bound_, lease_bound);
}

TrackedRun* WorkerTracker::Find(const TaskRef& task) {
  const auto it = runs_.find(task);
  return it == runs_.end() ? nullptr : &it->second;
}

Milliseconds WorkerTracker::MaxLeaseDuration(Milliseconds term) {
  return Milliseconds(static_cast<int64_t>(static_cast<double>(term.count()) /
                                           kMinClockRate)) +
         kLeaseSlack;
}

Milliseconds WorkerTracker::IssueDeadline(Milliseconds term, Time now) {
  const auto elapsed =
      std::chrono::duration_cast<Milliseconds>(now - clock_read_at_);
  lease_bound_ =
      std::max(lease_bound_, clock_read_at_ + MaxLeaseDuration(term + elapsed));
  return clock_ + elapsed + term;
}

void WorkerTracker::OnStartSent(const TaskRef& task, int run,
                                Milliseconds deadline, Time now) {
  TrackedRun* tracked = Find(task);
  if (tracked == nullptr || tracked->run != run) return;
  tracked->stage = RunStage::kSending;
  tracked->order_deadline = deadline;
  tracked->order_sent = now;
  tracked->stage_since = now;
}

std::vector<RunEndReport> WorkerTracker::OnStartAnswer(const TaskRef& task,
                                                       int run,
                                                       StartOutcome outcome,
                                                       Time now) {
  const auto it = runs_.find(task);
  if (it == runs_.end() || it->second.run != run) return {};
  TrackedRun& tracked = it->second;
  switch (outcome) {
    case StartOutcome::kAccepted:
      // The answer ends a silence, as a report does.
      silent_since_.reset();
      ConfirmLease(clock_read_at_ + (tracked.order_deadline - clock_));
      if (tracked.stage == RunStage::kRunning) return {};
      tracked.stage = RunStage::kRunning;
      tracked.stage_since = now;
      tracked.began = now;
      tracked.last_progress = now;
      tracked.progress_clock = ClockAt(now);
      if (!tracked.resumed) tracked.baseline = now;
      return {};
    case StartOutcome::kNoAnswer:
      health_.OnSilence(now);
      if (tracked.stage == RunStage::kSending) {
        tracked.stage = RunStage::kUnknown;
        tracked.stage_since = now;
      }
      return {};
    case StartOutcome::kOtherIncarnation:
      return OnIncarnationEnded(IncarnationEnd::kCrashed, now);
    case StartOutcome::kRefused:
    case StartOutcome::kTicketRefused:
    case StartOutcome::kFenced:
      break;
  }
  if (tracked.stage == RunStage::kRunning) return {};
  std::vector<RunEndReport> ends = {MakeRunEnd(tracked, RunEnd::kLost, now)};
  Erase(it);
  return ends;
}

void WorkerTracker::OnStopAnswer(const TaskRef& task, int run,
                                 bool acknowledged, Time now) {
  TrackedRun* tracked = Find(task);
  if (tracked == nullptr || tracked->run != run) return;
  tracked->stop_sending = false;
  if (acknowledged) tracked->stop_acknowledged = now;
}

void WorkerTracker::MarkOrdersUnanswered(Time now) {
  for (auto& [task, run] : runs_) {
    if (run.stage != RunStage::kSending) continue;
    run.stage = RunStage::kUnknown;
    run.stage_since = now;
  }
}

bool WorkerTracker::IsFromPastIncarnation(const WorkerStatusReport& report,
                                          Time sent) const {
  return incarnation_.Classify(report.incarnation_start.time, sent) ==
         WorkerIncarnation::Verdict::kPast;
}

bool WorkerTracker::OutlivesRestart(const TrackedRun& run,
                                    const WorkerStatusReport& report,
                                    Time sent) const {
  const auto is_same_run = [&run](const auto& listed) {
    return listed.task == run.task && listed.run == run.run;
  };
  const bool listed =
      std::any_of(report.running.begin(), report.running.end(), is_same_run) ||
      std::any_of(report.ended.begin(), report.ended.end(), is_same_run);
  if (listed) return true;
  // The new incarnation may have carried out the order and ended the run.
  if (!report.ends_complete) return true;
  switch (run.stage) {
    case RunStage::kRecording:
    case RunStage::kSending:
    case RunStage::kUnknown:
      return true;
    case RunStage::kRunning:
      // The new incarnation may have accepted the order after it wrote the
      // report.
      return run.stage_since > sent;
    case RunStage::kInherited:
      return false;
  }
  return false;
}

std::vector<RunEndReport> WorkerTracker::BeginIncarnation(
    const WorkerStatusReport& report, Time sent, Time now) {
  const RunEnd end = RunEndFor(IncarnationEnd::kCrashed);
  DropPastAnnouncement(report.incarnation_start.time);
  std::vector<RunEndReport> ended;
  for (auto it = runs_.begin(); it != runs_.end();) {
    const auto run = it++;
    if (OutlivesRestart(run->second, report, sent)) {
      const bool is_under_way = run->second.stage == RunStage::kSending;
      if (is_under_way || MayHaveBegun(run->second)) {
        run->second.may_have_crashed = true;
        run->second.crashed_incarnation = incarnation_.start();
      }
      // The deadline referred to the clock of the previous incarnation.
      run->second.order_deadline = Milliseconds::max();
      continue;
    }
    ended.push_back(LostWithIncarnation(run->second, end, now));
    Erase(run);
  }
  ++incarnation_number_;
  lease_certain_ = Time{};
  clock_ = Milliseconds::zero();
  processed_ends_ = 0;
  recorded_ends_ = 0;
  health_.OnRestart();
  return ended;
}

std::vector<RunEndReport> WorkerTracker::OnReport(
    const WorkerStatusReport& report, Time sent, Time now,
    std::vector<RunReport>* unexpected) {
  const WorkerIncarnation::Verdict verdict =
      incarnation_.Classify(report.incarnation_start.time, sent);
  if (verdict == WorkerIncarnation::Verdict::kPast) return {};
  std::vector<RunEndReport> ended;
  if (verdict == WorkerIncarnation::Verdict::kNext) {
    ended = BeginIncarnation(report, sent, now);
  }
  incarnation_.Record(report.incarnation_start.time, now);
  CompareClocks(report.clock, sent, now);
  const bool is_latest = report.clock >= clock_;
  if (is_latest) {
    clock_ = report.clock;
    clock_read_at_ = now;
    other_use_ = Resources();
  }
  failed_reports_ = 0;
  silent_since_.reset();
  std::set<std::pair<TaskRef, int>> present;
  const int64_t processed_before = processed_ends_;
  for (const RunEndReport& end : report.ended) {
    present.emplace(end.task, end.run);
    if (end.number <= processed_before) continue;
    processed_ends_ = std::max(processed_ends_, end.number);
    ended.push_back(end);
    ended.back().incarnation = incarnation_number_;
    const auto it = runs_.find(end.task);
    if (it == runs_.end() || it->second.run > end.run) continue;
    ended.back().began = it->second.began;
    ended.back().saved_work = it->second.saved_work(end.checkpoint, now);
    ended.back().kind = it->second.profile.kind();
    ended.back().placed = it->second.placed;
    Erase(it);
  }
  for (const RunReport& running : report.running) {
    present.emplace(running.task, running.run);
    TrackedRun* tracked = Find(running.task);
    if (tracked == nullptr || tracked->run != running.run) {
      if (!is_latest) continue;
      if (tracked != nullptr) other_use_ += tracked->profile.need;
      unexpected->push_back(running);
      continue;
    }
    UpdateProgress(tracked, running, report.clock, now);
  }
  synchronized_ = true;
  for (auto it = runs_.begin(); it != runs_.end();) {
    const auto run = it++;
    const bool listed = present.count({run->first, run->second.run}) > 0;
    run->second.may_have_ended = !listed && !report.ends_complete;
    if (listed || !report.ends_complete) continue;
    if (!IsSettledByAbsence(run->second, sent, report.clock)) continue;
    ended.push_back(AbsentRunEnd(run->second, now));
    Erase(run);
  }
  return ended;
}

RunEndReport WorkerTracker::AbsentRunEnd(const TrackedRun& run,
                                         Time now) const {
  // An inherited run that is gone has not begun, or the worker has restarted
  // since.
  const std::optional<WallTime>& start = incarnation_.start();
  const bool may_be_restarted = run.stage == RunStage::kInherited && start &&
                                !PredatesJob(*start, run.profile.job_accepted);
  const bool may_be_lost = run.may_have_crashed || may_be_restarted;
  // A previous incarnation that had announced its departure has left.
  const RunEnd lost_end =
      announcement_ ? RunEnd::kWorkerLeft : RunEnd::kWorkerCrashed;
  RunEndReport end =
      MakeRunEnd(run, may_be_lost ? lost_end : RunEnd::kLost, now);
  end.incarnation_start = run.crashed_incarnation;
  return end;
}

Milliseconds WorkerTracker::ClockAt(Time now) const {
  return clock_ + std::chrono::duration_cast<Milliseconds>(
                      std::max(now - clock_read_at_, Duration::zero()));
}

void WorkerTracker::UpdateProgress(TrackedRun* run, const RunReport& report,
                                   Milliseconds clock, Time now) {
  if (run->stage != RunStage::kRunning) {
    run->stage = RunStage::kRunning;
    run->stage_since = now;
    run->began = now;
    run->last_progress = now;
    run->progress_clock = clock;
  }
  if (report.percent != run->percent) {
    run->last_progress = now;
    run->progress_clock = clock;
  }
  run->last_report = now;
  run->report_clock = std::max(run->report_clock, clock);
  run->percent = report.percent;
  run->load = report.load;
  if (!run->baseline) {
    run->baseline = now;
    run->baseline_percent = report.percent;
  }
  const bool resumes_from_it = run->resumed && run->checkpoint.empty();
  const bool is_new = report.checkpoint != run->checkpoint && !resumes_from_it;
  if (is_new) run->checkpoint_seen_at = now;
  run->checkpoint = report.checkpoint;
}

bool WorkerTracker::IsSettledByAbsence(const TrackedRun& run, Time sent,
                                       Milliseconds clock) const {
  if (run.stop_acknowledged && *run.stop_acknowledged <= sent) return true;
  switch (run.stage) {
    case RunStage::kInherited:
      return true;
    case RunStage::kRunning:
      return run.stage_since <= sent;
    case RunStage::kUnknown:
      return clock > run.order_deadline;
    case RunStage::kRecording:
    case RunStage::kSending:
      return false;
  }
  return false;
}

bool WorkerTracker::ConfirmStart(const TaskRef& task, int run, Time sent) {
  TrackedRun* tracked = Find(task);
  if (tracked == nullptr || tracked->run != run) return false;
  if (tracked->survived_start || tracked->began == Time{}) return false;
  tracked->survived_start = sent - tracked->began >= kStartPhase;
  return tracked->survived_start;
}

void WorkerTracker::OnReportFailed(Time now) {
  ++failed_reports_;
  health_.OnSilence(now);
  if (!silent_since_) silent_since_ = now;
}

WorkerAvailability WorkerTracker::availability(Time now) const {
  if (!synchronized()) return WorkerAvailability::kNoReportYet;
  if (!reachable()) return WorkerAvailability::kSilent;
  if (missing()) return WorkerAvailability::kNotListed;
  if (IsEntryOutdated(now)) return WorkerAvailability::kEntryOutdated;
  if (unknown_needs_ > 0) return WorkerAvailability::kUnknownLoad;
  if (renewals_stopped_) return WorkerAvailability::kRenewalsStopped;
  if (registration_.draining || has_announced_departure()) {
    return WorkerAvailability::kLeaving;
  }
  if (domain_closed_) return WorkerAvailability::kDomainClosed;
  return health_.IsExcluded(now) ? WorkerAvailability::kQuarantined
                                 : WorkerAvailability::kUsable;
}

RunEnd WorkerTracker::RunEndFor(IncarnationEnd end) const {
  return ToRunEnd(has_announced_departure() ? IncarnationEnd::kLeft : end);
}

// An unanswered order was not accepted by a worker that was silent before it
// was sent. An order of which no copy has gone unanswered was not accepted by a
// worker that was never silent: the next incarnation refused it.
bool WorkerTracker::MayHaveBegun(const TrackedRun& run) const {
  if (run.stage == RunStage::kRecording) return false;
  const bool known = run.began != Time{} || run.stage == RunStage::kInherited;
  if (known) return true;
  if (!silent_since_) return run.stage == RunStage::kUnknown;
  return *silent_since_ >= run.order_sent;
}

RunEndReport WorkerTracker::LostWithIncarnation(const TrackedRun& run,
                                                RunEnd end, Time now) const {
  RunEndReport lost =
      MakeRunEnd(run, MayHaveBegun(run) ? end : RunEnd::kLost, now);
  lost.incarnation_start = incarnation_.start();
  lost.address = registration_.address;
  lost.within_lease = now <= lease_certain_ && !run.may_have_completed(now);
  if (run.began != Time{}) {
    lost.survived = silent_since_.value_or(now) - run.began;
  }
  return lost;
}

std::vector<RunEndReport> WorkerTracker::OnIncarnationEnded(IncarnationEnd end,
                                                            Time now) {
  const RunEnd run_end = RunEndFor(end);
  std::vector<RunEndReport> ended;
  ended.reserve(runs_.size());
  for (const auto& [task, run] : runs_) {
    ended.push_back(LostWithIncarnation(run, run_end, now));
  }
  runs_.clear();
  used_ = Resources();
  unknown_needs_ = 0;
  other_use_ = Resources();
  return ended;
}

void WorkerTracker::OnEndsRecorded(int incarnation, int64_t number) {
  if (incarnation != incarnation_number_) return;
  recorded_ends_ = std::max(recorded_ends_, std::min(number, processed_ends_));
}

void WorkerTracker::ExtendLeaseBound(Milliseconds term, Time now) {
  lease_bound_ = std::max(lease_bound_, now + MaxLeaseDuration(term));
}

std::string_view ToText(RunStage stage) {
  switch (stage) {
    case RunStage::kRecording:
      return "recording";
    case RunStage::kSending:
      return "sending";
    case RunStage::kUnknown:
      return "undecided";
    case RunStage::kInherited:
      return "inherited";
    case RunStage::kRunning:
      return "running";
  }
  return "unknown";
}

std::string_view ToText(WorkerAvailability availability) {
  switch (availability) {
    case WorkerAvailability::kUsable:
      return "usable";
    case WorkerAvailability::kNoReportYet:
      return "not heard yet";
    case WorkerAvailability::kSilent:
      return "silent";
    case WorkerAvailability::kNotListed:
      return "not listed";
    case WorkerAvailability::kEntryOutdated:
      return "entry outdated";
    case WorkerAvailability::kLeaving:
      return "leaving";
    case WorkerAvailability::kUnknownLoad:
      return "unknown load";
    case WorkerAvailability::kRenewalsStopped:
      return "renewals stopped";
    case WorkerAvailability::kDomainClosed:
      return "domain closed";
    case WorkerAvailability::kQuarantined:
      return "quarantined";
  }
  return "unknown";
}

void WorkerTracker::Erase(std::map<TaskRef, TrackedRun>::iterator run) {
  used_ -= run->second.profile.need;
  if (!run->second.profile.need_known) --unknown_needs_;
  runs_.erase(run);
}

}  // namespace thornplank
