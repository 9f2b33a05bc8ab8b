// Encodes calls to a worker's lease interface and decodes its reports.
#include "platform/worker_client.h"

#include <utility>

#include "platform/platform_call.h"

namespace thornplank {
namespace {

constexpr int kConflict = 409;
constexpr int kInsufficientStorage = 507;
// 10 years, far above any run time. Larger values are treated as invalid.
constexpr int64_t kMaxProgressMs = int64_t{10} * 366 * 24 * 3600 * 1000;

struct StateName {
  LeaseState state;
  std::string_view name;
};

constexpr StateName kStateNames[] = {
    {LeaseState::kThrottled, "throttled"},
    {LeaseState::kRunning, "running"},
    {LeaseState::kCheckpointing, "checkpointing"},
    {LeaseState::kCheckpointed, "checkpointed"},
    {LeaseState::kFinished, "finished"},
    {LeaseState::kFailed, "failed"},
    {LeaseState::kGone, "gone"},
};

std::optional<LeaseState> ParseState(const std::string& text) {
  for (const StateName& entry : kStateNames) {
    if (entry.name == text) return entry.state;
  }
  return std::nullopt;
}

int64_t ToMilliseconds(Duration duration) {
  return std::chrono::duration_cast<Milliseconds>(duration).count();
}

Json TokenToJson(const FencingToken& token) {
  return {{"epoch", token.epoch}, {"sequence", token.sequence}};
}

FencingToken DecodeToken(const Json& body) {
  FencingToken token;
  const Json* object = ObjectField(body, "newest_token");
  if (object == nullptr) return token;
  token.epoch = IntField(*object, "epoch").value_or(0);
  token.sequence = IntField(*object, "sequence").value_or(0);
  return token;
}

std::optional<Duration> DecodeProgress(const Json& item) {
  const std::optional<int64_t> progress = IntField(item, "progress_ms");
  if (!progress || *progress < 0 || *progress > kMaxProgressMs) {
    return std::nullopt;
  }
  return Milliseconds(*progress);
}

std::optional<LeaseReport> DecodeLease(const Json& item) {
  const auto id = StringField(item, "lease_id");
  const auto state = ParseState(StringField(item, "state").value_or(""));
  if (!id || !state) return std::nullopt;
  LeaseReport lease;
  lease.lease_id = *id;
  lease.state = *state;
  lease.gang_id = StringField(item, "gang_id").value_or("");
  lease.job_id = StringField(item, "job_id").value_or("");
  lease.account = StringField(item, "account").value_or("");
  lease.reason = StringField(item, "reason").value_or("");
  lease.accelerators =
      static_cast<int>(IntField(item, "accelerators").value_or(0));
  lease.progress = DecodeProgress(item);
  return lease;
}

// Rejects the whole report when a lease cannot be decoded: a missing lease
// would be taken for one that has ended.
std::optional<WorkerReport> DecodeReport(const Json& body) {
  const auto worker = StringField(body, "worker");
  const auto accelerators = IntField(body, "accelerators");
  const Json* leases = ArrayField(body, "leases");
  if (!worker || !accelerators || leases == nullptr) return std::nullopt;
  WorkerReport report;
  report.worker = *worker;
  report.accelerators = static_cast<int>(*accelerators);
  report.newest_token = DecodeToken(body);
  for (const Json& item : *leases) {
    std::optional<LeaseReport> lease = DecodeLease(item);
    if (!lease) return std::nullopt;
    report.leases.push_back(std::move(*lease));
  }
  const Json* usage = ObjectField(body, "usage");
  if (usage == nullptr) return report;
  report.accelerators_in_use =
      static_cast<int>(IntField(*usage, "accelerators_in_use").value_or(0));
  report.usage_as_of =
      FromUnixMilliseconds(IntField(*usage, "as_of_ms").value_or(0));
  return report;
}

WorkerRefusal ToRefusal(const PlatformReply& reply) {
  if (reply.status == 0) return WorkerRefusal::kUnreachable;
  if (reply.status == kConflict) return WorkerRefusal::kStaleToken;
  if (reply.status == kInsufficientStorage) return WorkerRefusal::kNoRoom;
  return WorkerRefusal::kOther;
}

void SendCall(HttpClient& http, const PlatformCall& call,
              WorkerClient::Callback callback) {
  SendPlatformCall(
      http, call,
      [callback = std::move(callback), step = call.step,
       address = call.address](const PlatformReply& reply) {
        if (!reply.ok()) {
          return callback(std::nullopt, ToRefusal(reply), reply.error);
        }
        std::optional<WorkerReport> report = DecodeReport(reply.body);
        if (!report) {
          return callback(std::nullopt, WorkerRefusal::kOther,
                          {step, address, "malformed report"});
        }
        callback(std::move(report), WorkerRefusal::kNone, {});
      });
}

PlatformCall MakeTokenCall(const std::string& step, const std::string& address,
                           const std::string& target, const FencingToken& token,
                           Duration timeout) {
  PlatformCall call;
  call.step = step;
  call.address = address;
  call.method = "POST";
  call.target = target;
  call.timeout = timeout;
  call.body = {{"token", TokenToJson(token)}};
  return call;
}

}  // namespace

WorkerClient::WorkerClient(HttpClient& http) : http_(http) {}

void WorkerClient::Grant(const std::string& address, const FencingToken& token,
                         const std::vector<LeaseRequest>& leases,
                         Duration timeout, Callback callback) {
  Json items = Json::array();
  for (const LeaseRequest& lease : leases) {
    items.push_back({{"lease_id", lease.lease_id},
                     {"gang_id", lease.gang_id},
                     {"job_id", lease.job_id},
                     {"account", lease.account},
                     {"accelerators", lease.accelerators},
                     {"term_ms", ToMilliseconds(lease.term)},
                     {"task", lease.task}});
  }
  PlatformCall call =
      MakeTokenCall("grant", address, "/v1/leases", token, timeout);
  call.body["leases"] = std::move(items);
  SendCall(http_, call, std::move(callback));
}

void WorkerClient::Renew(const std::string& address, const FencingToken& token,
                         const std::vector<std::string>& lease_ids,
                         Duration term, Duration timeout, Callback callback) {
  PlatformCall call =
      MakeTokenCall("renew", address, "/v1/renewals", token, timeout);
  call.body["lease_ids"] = lease_ids;
  call.body["term_ms"] = ToMilliseconds(term);
  SendCall(http_, call, std::move(callback));
}

void WorkerClient::Throttle(const std::string& address,
                            const FencingToken& token,
                            const std::vector<std::string>& lease_ids,
                            bool throttled, Duration timeout,
                            Callback callback) {
  PlatformCall call =
      MakeTokenCall("throttle", address, "/v1/throttle", token, timeout);
  call.body["lease_ids"] = lease_ids;
  call.body["throttled"] = throttled;
  SendCall(http_, call, std::move(callback));
}

void WorkerClient::Checkpoint(const std::string& address,
                              const FencingToken& token,
                              const std::vector<std::string>& lease_ids,
                              Duration timeout, Callback callback) {
  PlatformCall call =
      MakeTokenCall("checkpoint", address, "/v1/checkpoint", token, timeout);
  call.body["lease_ids"] = lease_ids;
  SendCall(http_, call, std::move(callback));
}

void WorkerClient::Stop(const std::string& address, const FencingToken& token,
                        const std::vector<std::string>& lease_ids,
                        Duration timeout, Callback callback) {
  PlatformCall call =
      MakeTokenCall("stop", address, "/v1/stop", token, timeout);
  call.body["lease_ids"] = lease_ids;
  SendCall(http_, call, std::move(callback));
}

void WorkerClient::Read(const std::string& address, Duration timeout,
                        Callback callback) {
  PlatformCall call;
  call.step = "read worker";
  call.address = address;
  call.target = "/v1/state";
  call.timeout = timeout;
  SendCall(http_, call, std::move(callback));
}

}  // namespace thornplank
