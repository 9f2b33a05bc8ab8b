// Runs, leases and ends of one executor.
#include "standins/users_executor_model.h"

#include <algorithm>
#include <utility>

#include "standins/users_advisor_role.h"

namespace thornplank::standins {

namespace {

// How long a run goes on after its stop.
constexpr int64_t kStopMs = 60;
constexpr int64_t kLongestLeaseMs = 10000;
constexpr int64_t kMillisPerPercent = 100;
// From a change of its capacity until starts must keep to it: the users' three
// seconds and a heartbeat.
constexpr int64_t kResizeGraceMs = 3300;

Resources NeedOf(const Json& payload, int step) {
  Resources need;
  const Json* needs = ArrayField(payload, "needs");
  const auto index = static_cast<size_t>(step);
  if (needs == nullptr || index >= needs->size()) return need;
  const Json& row = (*needs)[index];
  if (!row.is_array() || row.size() != 3) return need;
  need.cpu_millis = row[0].get<int64_t>();
  need.memory_mb = row[1].get<int64_t>();
  need.accelerators = row[2].get<int64_t>();
  return need;
}

}  // namespace

UsersExecutorModel::UsersExecutorModel(std::string name, Resources capacity)
    : name_(std::move(name)),
      whole_(capacity),
      capacity_(capacity),
      former_(capacity) {}

std::string UsersExecutorModel::id() const {
  return name_ + "-" + std::to_string(named_life_);
}

int64_t UsersExecutorModel::Progress(const Run& run, int64_t now) const {
  if (stalled_) return 0;
  const double worked = static_cast<double>(now - run.since) / slowdown_;
  return run.done_ms + static_cast<int64_t>(worked);
}

void UsersExecutorModel::Advance(int64_t now) {
  for (auto it = runs_.begin(); it != runs_.end();) {
    const auto run = it++;
    // Nobody may have looked for long: what came first counts.
    const auto [time, end] = NextEnd(run->second);
    if (time <= now) End(run, end, time);
  }
  if (deadline_ < now) NoteLapse();
}

void UsersExecutorModel::NoteLapse() {
  for (Ended& end : ended_) {
    if (end.time <= deadline_) end.lapsed = true;
  }
}

std::pair<int64_t, RunEnd> UsersExecutorModel::NextEnd(const Run& run) const {
  std::pair<int64_t, RunEnd> next{deadline_, RunEnd::kLeaseLapsed};
  const double left = static_cast<double>(run.work_ms - run.done_ms);
  const int64_t finished = run.since + static_cast<int64_t>(left * slowdown_);
  if (!stalled_ && finished <= next.first) {
    next = {finished, run.fails ? RunEnd::kFailed : RunEnd::kDone};
  }
  if (run.stops_at >= 0 && run.stops_at < next.first) {
    next = {run.stops_at, RunEnd::kStopped};
  }
  return next;
}

void UsersExecutorModel::End(std::map<std::string, Run>::iterator run,
                             RunEnd end, int64_t now) {
  RunHistory& history = history_[run->second.history];
  history.ended_ms = now;
  history.how = std::string(ToText(end));
  closed_runs_[run->first] =
      std::max(closed_runs_[run->first], run->second.run);
  Ended ended;
  ended.number = next_number_++;
  ended.time = now;
  ended.task = run->second.task;
  ended.run = run->second.run;
  ended.end = end;
  ended.history = run->second.history;
  ended_.push_back(std::move(ended));
  runs_.erase(run);
}

StartOutcome UsersExecutorModel::Start(const StartOrder& order, int64_t now) {
  Advance(now);
  if (order.epoch < fence_) return StartOutcome::kFenced;
  fence_ = order.epoch;
  if (order.deadline.count() <= now) return StartOutcome::kRefused;
  deadline_ = std::max(deadline_,
                       std::min(order.deadline.count(), now + kLongestLeaseMs));
  const std::string name = order.task.ToString();
  const auto present = runs_.find(name);
  if (present != runs_.end()) {
    return present->second.run == order.run ? StartOutcome::kAccepted
                                            : StartOutcome::kRefused;
  }
  const auto closed = closed_runs_.find(name);
  if (closed != closed_runs_.end() && order.run <= closed->second) {
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
  run.fails = fail_all_ || BoolField(payload, "fail").value_or(false);
  run.need = NeedOf(payload, order.task.step.step);
  run.tail_ms = IntField(payload, "tail_ms").value_or(0);
  run.disturbs_ms = IntField(payload, "disturbs_ms").value_or(0);
  run.began = now;
  run.since = now;
  run.history = history_.size();
  RunHistory history;
  history.worker = id();
  history.task = name;
  history.run = order.run;
  history.began_ms = now;
  history_.push_back(std::move(history));
  Resources used = run.need;
  for (const auto& [other_name, other] : runs_) {
    used += other.need;
  }
  if (!used.FitsInto(AllowedCapacity(now))) {
    violations_.push_back(id() + " is over its capacity with " + name);
  }
  runs_[name] = run;
  return StartOutcome::kAccepted;
}

CallOutcome UsersExecutorModel::Stop(const StopOrder& order, int64_t now) {
  Advance(now);
  if (order.epoch < fence_) return CallOutcome::kFenced;
  fence_ = order.epoch;
  const std::string name = order.task.ToString();
  closed_runs_[name] = std::max(closed_runs_[name], order.run);
  const auto run = runs_.find(name);
  if (run != runs_.end() && run->second.run <= order.run &&
      run->second.stops_at < 0) {
    run->second.stops_at = now + kStopMs;
  }
  return CallOutcome::kOk;
}

CallOutcome UsersExecutorModel::Pace(const PaceOrder& order, int64_t now) {
  Advance(now);
  if (order.epoch < fence_) return CallOutcome::kFenced;
  fence_ = order.epoch;
  const auto run = runs_.find(order.task.ToString());
  if (run == runs_.end() || run->second.run != order.run) {
    return CallOutcome::kRefused;
  }
  run->second.pace = order.percent;
  history_[run->second.history].pace = order.percent;
  return CallOutcome::kOk;
}

int64_t UsersExecutorModel::Load(const Run& run) const {
  if (run.tail_ms == 0) return run.need.cpu_millis * run.pace / kFullPace;
  int64_t tail = run.tail_ms;
  for (const auto& [name, other] : runs_) {
    tail += other.disturbs_ms * other.pace / kFullPace;
  }
  return tail;
}

CallOutcome UsersExecutorModel::Hold(const StatusQuery& query, int64_t now,
                                     WorkerStatusReport* report) {
  Advance(now);
  if (query.epoch < fence_) return CallOutcome::kFenced;
  fence_ = query.epoch;
  if (query.lease_until) {
    deadline_ = std::max(
        deadline_, std::min(query.lease_until->count(), now + kLongestLeaseMs));
  }
  while (!ended_.empty() && ended_.front().number <= query.recorded_ends) {
    history_[ended_.front().history].recorded = !ended_.front().lapsed;
    ended_.pop_front();
  }
  report->clock = Milliseconds(now);
  for (const auto& [name, run] : runs_) {
    history_[run.history].load = Load(run);
    const int64_t percent =
        run.work_ms > 0 ? Progress(run, now) * kMillisPerPercent / run.work_ms
                        : 0;
    report->running.push_back(
        {run.task, run.run, "",
         static_cast<int>(std::min<int64_t>(percent, kMillisPerPercent)),
         Load(run)});
  }
  for (const Ended& end : ended_) {
    report->ended.push_back({end.number, end.task, end.run, end.end, ""});
  }
  return CallOutcome::kOk;
}

bool UsersExecutorModel::HasEndBehind(int64_t recorded, int64_t now) {
  Advance(now);
  return !ended_.empty() && ended_.back().number > recorded;
}

void UsersExecutorModel::set_stalled(bool on, int64_t now) {
  Advance(now);
  stalled_ = on;
}

void UsersExecutorModel::set_slowdown(double factor, int64_t now) {
  Advance(now);
  for (auto& [name, run] : runs_) {
    run.done_ms = Progress(run, now);
    run.since = now;
  }
  slowdown_ = factor;
}

void UsersExecutorModel::set_capacity_percent(int64_t percent, int64_t now) {
  former_ = AllowedCapacity(now);
  resized_at_ = now;
  capacity_ = ShareOf(whole_, static_cast<double>(percent) / 100);
}

Resources UsersExecutorModel::AllowedCapacity(int64_t now) const {
  const bool fresh = now - resized_at_ <= kResizeGraceMs;
  return fresh ? ElementwiseMax(capacity_, former_) : capacity_;
}

void UsersExecutorModel::Crash(int64_t now) {
  EndLife(now);
  named_life_ = ++life_;
}

void UsersExecutorModel::Restart(int64_t now) {
  EndLife(now);
  ++life_;
}

void UsersExecutorModel::EndLife(int64_t now) {
  Advance(now);
  for (const auto& [name, run] : runs_) {
    history_[run.history].ended_ms = now;
    history_[run.history].how = "crashed";
  }
  runs_.clear();
  ended_.clear();
  closed_runs_.clear();
  next_number_ = 1;
  fence_ = 0;
  deadline_ = 0;
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
