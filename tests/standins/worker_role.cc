// Implements the calls, reports and faults of a worker.
#include "standins/worker_role.h"

#include <optional>

namespace thornplank::standins {

namespace http = boost::beast::http;

namespace {

Json ToJson(const std::pair<int64_t, int64_t>& token) {
  return {{"epoch", token.first}, {"sequence", token.second}};
}

int64_t ToMilliseconds(Duration duration) {
  return std::chrono::duration_cast<Milliseconds>(duration).count();
}

// Converts a time of the monotonic clock to Unix milliseconds. All workers of
// the process use the same pair of clock readings, so that their times can be
// compared.
int64_t UnixMilliseconds(Time time) {
  static const WallTime wall_base = std::chrono::system_clock::now();
  static const Time base = std::chrono::steady_clock::now();
  return ToUnixMilliseconds(
      wall_base + std::chrono::duration_cast<WallTime::duration>(time - base));
}

std::optional<Lease> ParseLease(const Json& json, Time now) {
  auto id = StringField(json, "lease_id");
  auto accelerators = IntField(json, "accelerators");
  auto term = IntField(json, "term_ms");
  if (!id || !accelerators || *accelerators < 0 || !term) return std::nullopt;
  Lease lease;
  lease.lease_id = *id;
  lease.gang_id = StringField(json, "gang_id").value_or("");
  lease.job_id = StringField(json, "job_id").value_or("");
  lease.account = StringField(json, "account").value_or("");
  lease.accelerators = *accelerators;
  lease.deadline = now + Milliseconds(*term);
  const Json* task = ObjectField(json, "task");
  if (task == nullptr) return lease;
  if (auto run = IntField(*task, "run_ms")) lease.run_time = Milliseconds(*run);
  lease.fails = BoolField(*task, "fails").value_or(false);
  return lease;
}

std::optional<std::vector<std::string>> ParseLeaseIds(const Json& body) {
  const Json* array = ArrayField(body, "lease_ids");
  if (array == nullptr) return std::nullopt;
  std::vector<std::string> lease_ids;
  for (const Json& id : *array) {
    if (!id.is_string()) return std::nullopt;
    lease_ids.push_back(id.get<std::string>());
  }
  return lease_ids;
}

}  // namespace

WorkerRole::WorkerRole(const boost::asio::any_io_executor& executor,
                       WorkerSettings settings)
    : Role(executor),
      settings_(std::move(settings)),
      table_(settings_.accelerators, settings_.checkpoint_time,
             settings_.usage_lag, std::chrono::steady_clock::now()),
      timer_(executor) {}

Json WorkerRole::Instance() const {
  return {{"name", settings_.name},
          {"kind", "worker"},
          {"address", address()},
          {"failure_domain", settings_.failure_domain},
          {"state", "live"},
          {"rack", settings_.rack},
          {"accelerators", settings_.accelerators},
          {"cores", settings_.cores},
          {"memory_mb", settings_.memory_mb}};
}

void WorkerRole::Handle(ExchangePtr exchange) {
  if (dead_) return exchange->Close();
  // The call has no effect, and the exchange is dropped without an answer.
  if (frozen_) return;
  std::string path = exchange->path();
  Time now = std::chrono::steady_clock::now();
  if (exchange->request().method() == http::verb::get) {
    if (path != "/v1/state") {
      return exchange->Answer(ProblemReply(404, "no such resource"));
    }
    table_.Advance(now);
    return exchange->Answer(JsonReply(Report({}, now)));
  }
  auto body = ParseJson(exchange->request().body());
  Reply reply =
      body ? HandleCall(path, *body) : ProblemReply(400, "body: not JSON");
  ScheduleNextEvent();
  if (lose_replies_ > 0) {
    --lose_replies_;
    return exchange->Close();
  }
  exchange->Answer(std::move(reply));
}

Reply WorkerRole::HandleCall(const std::string& path, const Json& body) {
  const Json* token_json = ObjectField(body, "token");
  if (token_json == nullptr) return ProblemReply(400, "token: missing");
  auto epoch = IntField(*token_json, "epoch");
  auto sequence = IntField(*token_json, "sequence");
  if (!epoch || !sequence) return ProblemReply(400, "token: malformed");
  Token token(*epoch, *sequence);
  if (token < newest_token_) {
    Json refusal = {{"type", "about:blank"},
                    {"title", "the token is older than the newest one seen"},
                    {"status", 409},
                    {"newest_token", ToJson(newest_token_)}};
    return JsonReply(refusal, 409);
  }
  newest_token_ = token;
  Time now = std::chrono::steady_clock::now();
  if (path == "/v1/leases") return Grant(body, now);
  auto lease_ids = ParseLeaseIds(body);
  if (!lease_ids) return ProblemReply(400, "lease_ids: missing or malformed");
  if (!ChangeLeases(path, body, *lease_ids, now)) {
    return ProblemReply(400, "no such call, or a field is missing");
  }
  return JsonReply(Report(*lease_ids, now));
}

Reply WorkerRole::Grant(const Json& body, Time now) {
  const Json* array = ArrayField(body, "leases");
  if (array == nullptr) return ProblemReply(400, "leases: missing");
  std::vector<Lease> leases;
  for (const Json& json : *array) {
    auto lease = ParseLease(json, now);
    if (!lease) return ProblemReply(400, "leases: malformed");
    leases.push_back(std::move(*lease));
  }
  if (!table_.Grant(leases, now)) {
    return ProblemReply(507, "not enough free accelerators");
  }
  return JsonReply(Report({}, now));
}

bool WorkerRole::ChangeLeases(const std::string& path, const Json& body,
                              const std::vector<std::string>& lease_ids,
                              Time now) {
  auto term = IntField(body, "term_ms");
  auto throttled = BoolField(body, "throttled");
  if (path == "/v1/renewals" && term) {
    table_.Renew(lease_ids, Milliseconds(*term), now);
    return true;
  }
  if (path == "/v1/throttle" && throttled) {
    table_.Throttle(lease_ids, *throttled, now);
    return true;
  }
  if (path == "/v1/checkpoint") {
    table_.Checkpoint(lease_ids, now);
    return true;
  }
  if (path == "/v1/stop") {
    table_.Stop(lease_ids, now);
    return true;
  }
  return false;
}

Json WorkerRole::Report(const std::vector<std::string>& requested_ids,
                        Time now) const {
  Json leases = Json::array();
  for (const auto& [id, lease] : table_.leases()) {
    leases.push_back(
        {{"lease_id", id},
         {"gang_id", lease.gang_id},
         {"job_id", lease.job_id},
         {"account", lease.account},
         {"accelerators", lease.accelerators},
         {"state", ToString(lease.state)},
         {"reason", lease.reason},
         {"progress_ms", ToMilliseconds(table_.Progress(lease, now))}});
  }
  for (const std::string& id : requested_ids) {
    if (table_.Contains(id)) continue;
    leases.push_back({{"lease_id", id},
                      {"gang_id", ""},
                      {"job_id", ""},
                      {"account", ""},
                      {"accelerators", 0},
                      {"state", "gone"},
                      {"reason", "not known to the worker"}});
  }
  return {{"worker", settings_.name},
          {"newest_token", ToJson(newest_token_)},
          {"accelerators", settings_.accelerators},
          {"leases", leases},
          {"usage",
           {{"as_of_ms", UnixMilliseconds(now - table_.usage_lag())},
            {"accelerators_in_use", table_.LaggedUsage(now)}}}};
}

void WorkerRole::ScheduleNextEvent() {
  auto next = table_.next_event_time();
  if (!next) {
    timer_.cancel();
    return;
  }
  timer_.expires_at(*next);
  timer_.async_wait([this](boost::system::error_code error) {
    if (error) return;
    table_.Advance(std::chrono::steady_clock::now());
    ScheduleNextEvent();
  });
}

Json WorkerRole::ControlState() {
  Time now = std::chrono::steady_clock::now();
  table_.Advance(now);
  Json history = Json::array();
  for (const LeaseEvent& event : table_.history()) {
    history.push_back({{"time_ms", UnixMilliseconds(event.time)},
                       {"lease_id", event.lease_id},
                       {"gang_id", event.gang_id},
                       {"job_id", event.job_id},
                       {"what", event.what}});
  }
  return {{"worker", settings_.name},
          {"dead", dead_},
          {"frozen", frozen_},
          {"newest_token", ToJson(newest_token_)},
          {"history", history}};
}

bool WorkerRole::ApplyControl(const Json& control, Error* error) {
  if (!HasOnlyFields(control,
                     {"fail_everything", "hang_checkpoint", "freeze", "dead",
                      "revive", "usage_lag_ms", "lose_replies"},
                     error)) {
    return false;
  }
  Milliseconds lag = table_.usage_lag();
  ReadField(control, "fail_everything", &table_.faults().fail_everything);
  ReadField(control, "hang_checkpoint", &table_.faults().hang_checkpoint);
  ReadField(control, "freeze", &frozen_);
  ReadField(control, "usage_lag_ms", &lag);
  ReadField(control, "lose_replies", &lose_replies_);
  table_.set_usage_lag(lag);
  if (BoolField(control, "dead").value_or(false)) {
    dead_ = true;
    table_.DropAll(std::chrono::steady_clock::now());
    CloseOtherConnections();
    ScheduleNextEvent();
  }
  if (BoolField(control, "revive").value_or(false)) {
    dead_ = false;
    frozen_ = false;
  }
  return true;
}

}  // namespace thornplank::standins
