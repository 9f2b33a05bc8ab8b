// Implements the runs, the lease and the orders of a model executor.
#include "standins/users_executor_model.h"

#include <algorithm>
#include <utility>

#include "standins/users_advisor_role.h"

namespace thornplank::standins {

namespace {

// How long a run continues after it is told to stop.
constexpr int64_t kStopDurationMs = 60;
constexpr int64_t kMaxLeaseMs = 10000;
constexpr int64_t kFullPercent = 100;
// The most ends that a report lists, by the users' protocol.
constexpr size_t kMaxListedEnds = 500;
// From a reduction of the capacity until starts must respect it: the three
// seconds of the users' rule and one heartbeat interval.
constexpr int64_t kResizeGraceMs = 3300;

Resources RequiredResources(const Json& payload, int step) {
  Resources required;
  const Json* needs = ArrayField(payload, "needs");
  const auto index = static_cast<size_t>(step);
  if (needs == nullptr || index >= needs->size()) return required;
  const Json& row = (*needs)[index];
  if (!row.is_array() || row.size() != 3) return required;
  required.cpu_millis = row[0].get<int64_t>();
  required.memory_mb = row[1].get<int64_t>();
  required.accelerators = row[2].get<int64_t>();
  return required;
}

}  // namespace

UsersExecutorModel::UsersExecutorModel(std::string name, Resources capacity)
    : name_(std::move(name)),
      full_capacity_(capacity),
      capacity_(capacity),
      previous_capacity_(capacity) {}

std::string UsersExecutorModel::id() const {
  return name_ + "-" + std::to_string(id_incarnation_);
}

int64_t UsersExecutorModel::Progress(const Run& run, int64_t now) const {
  if (stalled_) return 0;
  const double worked =
      static_cast<double>(now - run.progress_since) / slowdown_;
  return run.progress_ms + static_cast<int64_t>(worked);
}

void UsersExecutorModel::Advance(int64_t now) {
  for (auto it = runs_.begin(); it != runs_.end();) {
    const auto run = it++;
    // Several ends may be due since the last call; the earliest one counts.
    const auto [time, end] = NextEnd(run->second);
    if (time <= now) EndRun(run, end, time);
  }
  if (lease_end_ < now) MarkLapsedEnds();
}

void UsersExecutorModel::MarkLapsedEnds() {
  for (UnrecordedEnd& end : unrecorded_ends_) {
    if (end.time <= lease_end_) end.lapsed = true;
  }
}

std::pair<int64_t, RunEnd> UsersExecutorModel::NextEnd(const Run& run) const {
  std::pair<int64_t, RunEnd> next{lease_end_, RunEnd::kLeaseLapsed};
  const double left = static_cast<double>(run.work_ms - run.progress_ms);
  const int64_t finished =
      run.progress_since + static_cast<int64_t>(left * slowdown_);
  if (!stalled_ && finished <= next.first) {
    next = {finished, run.fails ? RunEnd::kFailed : RunEnd::kDone};
  }
  if (run.stop_effective_at >= 0 && run.stop_effective_at < next.first) {
    next = {run.stop_effective_at, RunEnd::kStopped};
  }
  return next;
}

void UsersExecutorModel::EndRun(std::map<std::string, Run>::iterator run,
                                RunEnd end, int64_t now) {
  RunHistory& history = history_[run->second.history_index];
  history.ended_ms = now;
  history.end_reason = std::string(ToText(end));
  last_closed_runs_[run->first] =
      std::max(last_closed_runs_[run->first], run->second.run);
  UnrecordedEnd ended;
  ended.number = next_end_number_++;
  ended.time = now;
  ended.task = run->second.task;
  ended.run = run->second.run;
  ended.end = end;
  ended.checkpoint = run->second.checkpoint;
  ended.history_index = run->second.history_index;
  unrecorded_ends_.push_back(std::move(ended));
  runs_.erase(run);
}

StartOutcome UsersExecutorModel::Start(const StartOrder& order, int64_t now) {
  Advance(now);
  if (order.epoch < highest_epoch_) return StartOutcome::kFenced;
  highest_epoch_ = order.epoch;
  if (order.deadline.count() <= now) return StartOutcome::kRefused;
  lease_end_ =
      std::max(lease_end_, std::min(order.deadline.count(), now + kMaxLeaseMs));
  const std::string name = order.task.ToString();
  const auto running = runs_.find(name);
  if (running != runs_.end()) {
    return running->second.run == order.run ? StartOutcome::kAccepted
                                            : StartOutcome::kRefused;
  }
  const auto closed = last_closed_runs_.find(name);
  if (closed != last_closed_runs_.end() && order.run <= closed->second) {
    return StartOutcome::kRefused;
  }
  const Json payload = ParseJson(order.payload).value_or(Json::object());
  const std::string step = order.task.step.ToString();
  const bool advised = BoolField(payload, "advised").value_or(false);
  if (advised &&
      (order.ticket != TicketFor(step, id()) || !IsApproved(step, id()))) {
    return StartOutcome::kTicketRefused;
  }
  Run run;
  run.task = order.task;
  run.run = order.run;
  run.work_ms = IntField(payload, "work_ms").value_or(100);
  run.fails = fail_all_ || BoolField(payload, "fail").value_or(false) ||
              order.run <= IntField(payload, "failing_runs").value_or(0);
  // The same for all members of a gang, as the protocol asks for.
  run.checkpoint.assign(
      static_cast<size_t>(IntField(payload, "checkpoint_bytes").value_or(0)),
      'c');
  run.required = RequiredResources(payload, order.task.step.step);
  run.tail_ms = IntField(payload, "tail_ms").value_or(0);
  run.disturbs_ms = IntField(payload, "disturbs_ms").value_or(0);
  run.began = now;
  run.progress_since = now;
  run.history_index = history_.size();
  RunHistory history;
  history.worker = id();
  history.task = name;
  history.run = order.run;
  history.began_ms = now;
  history.resumed_bytes = static_cast<int64_t>(order.checkpoint.size());
  history_.push_back(std::move(history));
  const Resources used = in_use(now) + run.required;
  if (!used.FitsInto(AllowedCapacity(now))) {
    violations_.push_back(id() + " is over its capacity with " + name);
  }
  runs_[name] = run;
  return StartOutcome::kAccepted;
}

Resources UsersExecutorModel::in_use(int64_t now) {
  Advance(now);
  Resources sum;
  for (const auto& [name, run] : runs_) {
    sum += run.required;
  }
  return sum;
}

CallOutcome UsersExecutorModel::Stop(const StopOrder& order, int64_t now) {
  Advance(now);
  if (order.epoch < highest_epoch_) return CallOutcome::kFenced;
  highest_epoch_ = order.epoch;
  const std::string name = order.task.ToString();
  last_closed_runs_[name] = std::max(last_closed_runs_[name], order.run);
  const auto run = runs_.find(name);
  if (run != runs_.end() && run->second.run <= order.run &&
      run->second.stop_effective_at < 0) {
    run->second.stop_effective_at = now + kStopDurationMs;
  }
  return CallOutcome::kOk;
}

CallOutcome UsersExecutorModel::SetPace(const PaceOrder& order, int64_t now) {
  Advance(now);
  if (order.epoch < highest_epoch_) return CallOutcome::kFenced;
  highest_epoch_ = order.epoch;
  const auto run = runs_.find(order.task.ToString());
  if (run == runs_.end() || run->second.run != order.run) {
    return CallOutcome::kRefused;
  }
  run->second.pace = order.percent;
  history_[run->second.history_index].pace = order.percent;
  return CallOutcome::kOk;
}

int64_t UsersExecutorModel::Load(const Run& run) const {
  if (run.tail_ms == 0) return run.required.cpu_millis * run.pace / kFullPace;
  int64_t tail = run.tail_ms;
  for (const auto& [name, other] : runs_) {
    tail += other.disturbs_ms * other.pace / kFullPace;
  }
  return tail;
}

CallOutcome UsersExecutorModel::Status(const StatusQuery& query, int64_t now,
                                       WorkerStatusReport* report) {
  Advance(now);
  if (query.epoch < highest_epoch_) return CallOutcome::kFenced;
  highest_epoch_ = query.epoch;
  if (query.lease_until) {
    lease_end_ = std::max(
        lease_end_, std::min(query.lease_until->count(), now + kMaxLeaseMs));
  }
  while (!unrecorded_ends_.empty() &&
         unrecorded_ends_.front().number <= query.recorded_ends) {
    history_[unrecorded_ends_.front().history_index].recorded =
        !unrecorded_ends_.front().lapsed;
    unrecorded_ends_.pop_front();
  }
  report->clock = Milliseconds(now);
  for (const auto& [name, run] : runs_) {
    history_[run.history_index].load = Load(run);
    const int64_t percent =
        run.work_ms > 0 ? Progress(run, now) * kFullPercent / run.work_ms : 0;
    report->running.push_back(
        {run.task, run.run, run.checkpoint,
         static_cast<int>(std::min<int64_t>(percent, kFullPercent)),
         Load(run)});
  }
  for (const UnrecordedEnd& end : unrecorded_ends_) {
    if (report->ended.size() == kMaxListedEnds) break;
    report->ended.push_back(
        {end.number, end.task, end.run, end.end, end.checkpoint});
  }
  // What a reader can tell of the list: one of that length may be continued.
  report->ends_complete = report->ended.size() < kMaxListedEnds;
  return CallOutcome::kOk;
}

bool UsersExecutorModel::HasEndAfter(int64_t recorded, int64_t now) {
  Advance(now);
  return !unrecorded_ends_.empty() && unrecorded_ends_.back().number > recorded;
}

const std::vector<RunHistory>& UsersExecutorModel::HistoryAt(int64_t now) {
  Advance(now);
  return history_;
}

void UsersExecutorModel::set_stalled(bool on, int64_t now) {
  Advance(now);
  stalled_ = on;
}

void UsersExecutorModel::set_slowdown(double factor, int64_t now) {
  Advance(now);
  for (auto& [name, run] : runs_) {
    run.progress_ms = Progress(run, now);
    run.progress_since = now;
  }
  slowdown_ = factor;
}

void UsersExecutorModel::set_capacity_percent(int64_t percent, int64_t now) {
  previous_capacity_ = AllowedCapacity(now);
  resized_at_ = now;
  capacity_ = ShareOf(full_capacity_, static_cast<double>(percent) / 100);
}

Resources UsersExecutorModel::AllowedCapacity(int64_t now) const {
  const bool in_grace_period = now - resized_at_ <= kResizeGraceMs;
  return in_grace_period ? ElementwiseMax(capacity_, previous_capacity_)
                         : capacity_;
}

void UsersExecutorModel::Crash(int64_t now) {
  EndIncarnation(now);
  id_incarnation_ = ++incarnation_;
}

void UsersExecutorModel::Restart(int64_t now) {
  EndIncarnation(now);
  ++incarnation_;
}

void UsersExecutorModel::EndIncarnation(int64_t now) {
  Advance(now);
  for (const auto& [name, run] : runs_) {
    history_[run.history_index].ended_ms = now;
    history_[run.history_index].end_reason = "crashed";
  }
  runs_.clear();
  unrecorded_ends_.clear();
  last_closed_runs_.clear();
  next_end_number_ = 1;
  highest_epoch_ = 0;
  lease_end_ = 0;
}

std::optional<Milliseconds> UsersExecutorModel::CrashDelay(
    const StartOrder& order) {
  const Json payload = ParseJson(order.payload).value_or(Json::object());
  const auto delay = IntField(payload, "crash_after_ms");
  if (!delay) return std::nullopt;
  const auto index = IntField(payload, "crash_task");
  if (index && *index != order.task.index) return std::nullopt;
  return Milliseconds(*delay);
}

}  // namespace thornplank::standins
