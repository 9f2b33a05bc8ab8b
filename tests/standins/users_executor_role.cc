// Implements the orders, reports and heartbeats of the users' executors.
#include "standins/users_executor_role.h"

#include <functional>
#include <utility>

namespace thornplank::standins {

namespace {

constexpr Milliseconds kHoldPollInterval{10};
// Heartbeat intervals after which the entry of a crashed executor expires.
constexpr int kMissedHeartbeats = 3;
constexpr int kMisdirectedRequest = 421;

int64_t UnixNow() {
  return ToUnixMilliseconds(std::chrono::system_clock::now());
}

std::string ToWireText(RunEnd end) {
  switch (end) {
    case RunEnd::kDone:
      return "done";
    case RunEnd::kFailed:
      return "failed";
    case RunEnd::kLeaseLapsed:
      return "lapsed";
    case RunEnd::kGangBroken:
      return "broken";
    case RunEnd::kGangIncomplete:
      return "alone";
    case RunEnd::kStopped:
    case RunEnd::kLost:
    case RunEnd::kWorkerLeft:
    case RunEnd::kWorkerCrashed:
    case RunEnd::kWorkerSilent:
      break;
  }
  return "stopped";
}

Json ReportBody(const WorkerStatusReport& report, int64_t start_ms) {
  Json running = Json::array();
  for (const RunReport& run : report.running) {
    running.push_back(Json::array(
        {run.task.ToString(), run.run, run.checkpoint, run.percent, run.load}));
  }
  Json finished = Json::array();
  for (const RunEndReport& end : report.ended) {
    finished.push_back(Json::array({end.number, end.task.ToString(), end.run,
                                    ToWireText(end.end), end.checkpoint}));
  }
  return {{"clock_ms", report.clock.count()},
          {"born", start_ms},
          {"running", std::move(running)},
          {"finished", std::move(finished)}};
}

}  // namespace

UsersExecutorRole::UsersExecutorRole(
    const boost::asio::any_io_executor& executor,
    UsersExecutorSettings settings)
    : Role(executor),
      settings_(std::move(settings)),
      model_(settings_.name, settings_.capacity),
      timer_(executor),
      random_(static_cast<uint32_t>(std::hash<std::string>()(settings_.name))),
      start_ms_(UnixNow()) {}

// Restarts the own clock and the heartbeat count.
void UsersExecutorRole::BeginIncarnation() {
  own_clock_offset_ = ModelClock();
  start_ms_ = UnixNow();
  heartbeat_count_ = 0;
}

int64_t UsersExecutorRole::ModelClock() const {
  return std::chrono::duration_cast<Milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

void UsersExecutorRole::StartHeartbeats(PublishFunction publish) {
  boost::asio::post(executor(), [this, publish = std::move(publish)] {
    publish_ = publish;
    Heartbeat();
  });
}

void UsersExecutorRole::Heartbeat() {
  const Json entry = {{"service", settings_.service},
                      {"addr", address()},
                      {"zone", settings_.failure_domain},
                      {"state", draining_ ? "draining" : "ready"},
                      {"capacity",
                       {{"cpu", model_.capacity().cpu_millis},
                        {"mem_mb", model_.capacity().memory_mb},
                        {"gpu", model_.capacity().accelerators}}},
                      {"labels", {"a", settings_.rack}},
                      {"clock_ms", OwnClock()},
                      {"born", start_ms_},
                      {"seq", ++heartbeat_count_}};
  if (!silent_ && !down_) publish_(model_.id(), entry.dump());
  timer_.expires_after(settings_.heartbeat_interval);
  timer_.async_wait([this](boost::system::error_code code) {
    if (!code) Heartbeat();
  });
}

void UsersExecutorRole::Handle(ExchangePtr exchange) {
  if (silent_ || unreachable_) return;
  if (down_) return CloseOtherConnections();
  const std::string expected = exchange->Header("X-Expect-Instance");
  if (!expected.empty() && expected != model_.id()) {
    return exchange->Answer(
        ProblemReply(kMisdirectedRequest, "another incarnation"));
  }
  const std::string path = exchange->path();
  const Json body =
      ParseJson(exchange->request().body()).value_or(Json::object());
  const bool late =
      std::uniform_real_distribution<double>(0, 1)(random_) < late_share_;
  if (path == "/v1/hold") {
    StatusQuery query;
    query.epoch = IntField(body, "fence").value_or(0);
    query.recorded_ends = IntField(body, "last_seen").value_or(0);
    if (const auto deadline = IntField(body, "deadline_ms")) {
      query.lease_until = Milliseconds(*deadline + own_clock_offset_);
    }
    const Milliseconds wait(IntField(body, "wait_ms").value_or(0));
    return HandleStatusQuery(exchange, query,
                             std::chrono::steady_clock::now() + wait);
  }
  if (!late) {
    const Reply reply = HandleOrder(path, body);
    const bool lost =
        std::uniform_real_distribution<double>(0, 1)(random_) < lost_share_;
    if (!lost) exchange->Answer(reply);
    return;
  }
  // An order does not reach an incarnation later than the one it was sent to.
  RunAfter(executor(), late_delay_,
           [this, path, body, incarnation = model_.incarnation()] {
             if (incarnation == model_.incarnation()) HandleOrder(path, body);
           });
}

Reply UsersExecutorRole::HandleOrder(const std::string& path,
                                     const Json& body) {
  const auto task = ParseTaskRef(StringField(body, "task").value_or(""));
  if (!task) return ProblemReply(400, "no such task name");
  const int run = static_cast<int>(IntField(body, "run").value_or(0));
  const int64_t epoch = IntField(body, "fence").value_or(0);
  const Json clock = {{"clock_ms", OwnClock()}};
  if (path == "/v1/run-stop") {
    const CallOutcome outcome = model_.Stop({*task, run, epoch}, ModelClock());
    if (outcome == CallOutcome::kOk) return JsonReply(clock);
    return JsonReply({{"clock_ms", OwnClock()}, {"reason", "fence"}}, 409);
  }
  if (path == "/v1/pace") {
    const int percent =
        static_cast<int>(IntField(body, "percent").value_or(kFullPace));
    const CallOutcome outcome =
        model_.SetPace({*task, run, percent, epoch}, ModelClock());
    if (outcome == CallOutcome::kOk) return JsonReply(clock);
    const char* reason = outcome == CallOutcome::kFenced ? "fence" : "old";
    return JsonReply({{"clock_ms", OwnClock()}, {"reason", reason}}, 409);
  }
  if (path != "/v1/run-start") return ProblemReply(404, "no such call");
  StartOrder order;
  order.task = *task;
  order.run = run;
  order.payload = StringField(body, "spec").value_or("");
  order.checkpoint = StringField(body, "checkpointed").value_or("");
  order.ticket = StringField(body, "ticket").value_or("");
  order.deadline = Milliseconds(IntField(body, "deadline_ms").value_or(0) +
                                own_clock_offset_);
  order.epoch = epoch;
  const StartOutcome outcome = model_.Start(order, ModelClock());
  if (outcome == StartOutcome::kAccepted) {
    ScheduleCrash(order);
    return JsonReply(clock);
  }
  const char* reason = "old";
  if (outcome == StartOutcome::kFenced) reason = "fence";
  if (outcome == StartOutcome::kTicketRefused) reason = "ticket";
  return JsonReply({{"clock_ms", OwnClock()}, {"reason", reason}}, 409);
}

void UsersExecutorRole::ScheduleCrash(const StartOrder& order) {
  const auto delay = UsersExecutorModel::CrashDelay(order);
  if (!delay) return;
  RunAfter(executor(), *delay, [this, incarnation = model_.incarnation()] {
    if (incarnation == model_.incarnation()) CrashAndRestart(keeps_id_);
  });
}

void UsersExecutorRole::CrashAndRestart(bool keep_id) {
  const std::string old_id = model_.id();
  if (keep_id) {
    model_.Restart(ModelClock());
  } else {
    model_.Crash(ModelClock());
  }
  down_ = true;
  CloseOtherConnections();
  RunAfter(executor(), restart_time_,
           [this, incarnation = model_.incarnation()] {
             if (incarnation != model_.incarnation()) return;
             down_ = false;
             BeginIncarnation();
           });
  if (keep_id) return;
  RunAfter(executor(), settings_.heartbeat_interval * kMissedHeartbeats,
           [this, old_id] {
             if (publish_) publish_(old_id, std::nullopt);
           });
}

void UsersExecutorRole::LeaveForGood() {
  const std::string id = model_.id();
  model_.Crash(ModelClock());
  gone_ = true;
  down_ = true;
  CloseOtherConnections();
  RunAfter(executor(), settings_.heartbeat_interval * kMissedHeartbeats,
           [this, id] {
             if (publish_) publish_(id, std::nullopt);
           });
}

void UsersExecutorRole::HandleStatusQuery(const ExchangePtr& exchange,
                                          const StatusQuery& query,
                                          Time until) {
  WorkerStatusReport report;
  const CallOutcome outcome = model_.Status(query, ModelClock(), &report);
  if (outcome != CallOutcome::kOk) {
    return exchange->Answer(
        JsonReply({{"clock_ms", OwnClock()}, {"reason", "fence"}}, 409));
  }
  report.clock -= Milliseconds(own_clock_offset_);
  const bool ready = model_.HasEndAfter(query.recorded_ends, ModelClock()) ||
                     std::chrono::steady_clock::now() >= until;
  if (ready) return exchange->Answer(JsonReply(ReportBody(report, start_ms_)));
  RunAfter(executor(), kHoldPollInterval,
           [this, exchange, query, until, incarnation = model_.incarnation()] {
             if (silent_ || unreachable_) return;
             if (incarnation != model_.incarnation()) return;
             HandleStatusQuery(exchange, query, until);
           });
}

Json UsersExecutorRole::ControlState() {
  Json runs = Json::array();
  for (const RunHistory& run : model_.HistoryAt(ModelClock())) {
    runs.push_back({{"worker", run.worker},
                    {"task", run.task},
                    {"run", run.run},
                    {"began_ms", run.began_ms},
                    {"ended_ms", run.ended_ms},
                    {"how", run.end_reason},
                    {"load", run.load},
                    {"pace", run.pace},
                    {"recorded", run.recorded}});
  }
  return {{"runs", std::move(runs)}, {"violations", model_.violations()}};
}

bool UsersExecutorRole::ApplyControl(const Json& control, Error* error) {
  if (!HasOnlyFields(
          control,
          {"silent", "unreachable", "draining", "late_percent", "lost_percent",
           "fail_all", "stalled", "slowdown", "reset", "crash",
           "capacity_percent", "restart", "restart_ms", "keeps_id", "gone"},
          error)) {
    return false;
  }
  if (gone_) return true;
  ReadField(control, "silent", &silent_);
  ReadField(control, "unreachable", &unreachable_);
  ReadField(control, "draining", &draining_);
  late_share_ =
      NumberField(control, "late_percent").value_or(late_share_ * 100) / 100;
  lost_share_ =
      NumberField(control, "lost_percent").value_or(lost_share_ * 100) / 100;
  if (BoolField(control, "reset").value_or(false)) CloseOtherConnections();
  if (const auto factor = NumberField(control, "slowdown")) {
    model_.set_slowdown(*factor, ModelClock());
  }
  ReadField(control, "restart_ms", &restart_time_);
  ReadField(control, "keeps_id", &keeps_id_);
  if (BoolField(control, "restart").value_or(false)) {
    CrashAndRestart(/*keep_id=*/true);
  }
  if (const auto percent = IntField(control, "capacity_percent")) {
    model_.set_capacity_percent(*percent, ModelClock());
  }
  if (const auto on = BoolField(control, "fail_all")) model_.set_fail_all(*on);
  if (const auto on = BoolField(control, "stalled")) {
    model_.set_stalled(*on, ModelClock());
  }
  if (BoolField(control, "gone").value_or(false)) LeaveForGood();
  if (BoolField(control, "crash").value_or(false)) {
    const std::string old_id = model_.id();
    model_.Crash(ModelClock());
    // A restart that is pending would bring up the incarnation before.
    down_ = false;
    BeginIncarnation();
    CloseOtherConnections();
    if (publish_) publish_(old_id, std::nullopt);
  }
  return true;
}

}  // namespace thornplank::standins
