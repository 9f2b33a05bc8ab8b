// Plans and sends the requests and records their outcomes.
#include "loadgen/load_generator.h"

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <mutex>
#include <random>
#include <thread>
#include <utility>

#include "base/json.h"
#include "net/http_client.h"
#include "net/io_pool.h"

namespace thornplank {
namespace {

// The client waits for an answer this much longer than the deadline that the
// entry gets.
constexpr Milliseconds kTimeoutMargin{1000};

struct PlannedRequest {
  Duration at;
  size_t account = 0;
  size_t entry = 0;
  std::string id;
  std::string key;
};

size_t PickWeighted(const std::vector<double>& weights,
                    std::mt19937_64& random) {
  std::discrete_distribution<size_t> distribution(weights.begin(),
                                                  weights.end());
  return distribution(random);
}

std::string MakeBody(const std::string& id, size_t bytes) {
  Json body = {{"id", id}, {"pad", ""}};
  const size_t used = body.dump().size();
  if (used < bytes) body["pad"] = std::string(bytes - used, 'x');
  return body.dump();
}

Outcome OutcomeOf(const HttpResponse& response, bool direct) {
  if (direct) {
    return response.status == 200 ? Outcome::kAnswered : Outcome::kNotRun;
  }
  return ParseOutcome(response.headers.Value("Thornplank-Outcome"))
      .value_or(Outcome::kNoAnswer);
}

// Returns whether the answer echoes the id of the request. Attempts that share
// an idempotency key have the same id, so the answer to any of them qualifies.
bool IsOwnAnswer(const HttpResponse& response, const PlannedRequest& request) {
  const std::optional<Json> answer = ParseJson(response.body);
  if (!answer.has_value()) return false;
  const std::optional<Json> echo =
      ParseJson(StringField(*answer, "echo").value_or(""));
  return echo.has_value() && StringField(*echo, "id") == request.id;
}

}  // namespace

class LoadGenerator::Impl {
 public:
  Impl(IoPool& pool, LoadSettings settings)
      : settings_(std::move(settings)),
        random_(settings_.seed),
        http_(pool.io(), Limits(settings_)) {
    if (settings_.entry_weights.size() != settings_.entries.size()) {
      settings_.entry_weights.assign(settings_.entries.size(), 1.0);
    }
  }

  ~Impl() { http_.Close(); }

  std::vector<HistoryRecord> Run() {
    const std::vector<PlannedRequest> plan = Plan();
    const Time start = std::chrono::steady_clock::now();
    for (const PlannedRequest& request : plan) {
      std::this_thread::sleep_until(start + request.at);
      Send(request, start);
    }
    std::unique_lock<std::mutex> lock(mutex_);
    all_done_.wait(lock, [&] { return history_.size() == plan.size(); });
    return std::move(history_);
  }

 private:
  static HttpClientLimits Limits(const LoadSettings& settings) {
    HttpClientLimits limits;
    limits.max_connections_per_peer = settings.max_connections_per_entry;
    return limits;
  }

  std::vector<PlannedRequest> Plan() {
    std::vector<Duration> times;
    const double seconds =
        std::chrono::duration<double>(settings_.duration).count();
    const auto steady = static_cast<size_t>(settings_.rate * seconds);
    for (size_t i = 0; i < steady; ++i) {
      times.push_back(
          std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
              static_cast<double>(i) / settings_.rate)));
    }
    times.insert(times.end(), static_cast<size_t>(settings_.burst),
                 settings_.burst_at);
    std::sort(times.begin(), times.end());
    std::vector<PlannedRequest> plan;
    plan.reserve(times.size());
    for (Duration at : times) AddPlanned(at, &plan);
    return plan;
  }

  void AddPlanned(Duration at, std::vector<PlannedRequest>* plan) {
    std::uniform_real_distribution<double> share(0, 1);
    std::vector<double> account_weights;
    for (const LoadAccount& account : settings_.accounts) {
      account_weights.push_back(account.share);
    }
    PlannedRequest request;
    request.at = at;
    request.account = PickWeighted(account_weights, random_);
    request.entry = PickWeighted(settings_.entry_weights, random_);
    request.id = settings_.name + "-" + std::to_string(settings_.seed) + "-" +
                 std::to_string(plan->size());
    if (share(random_) < settings_.non_idempotent_share) {
      request.key = "key-" + request.id;
    }
    plan->push_back(request);
    if (request.key.empty() || share(random_) >= settings_.repeat_share) return;
    // The same payment, with the same key and body, to another entry.
    request.entry = (request.entry + 1) % settings_.entries.size();
    plan->push_back(request);
  }

  HttpRequest MakeRequest(const PlannedRequest& planned) const {
    const LoadAccount& account = settings_.accounts[planned.account];
    HttpRequest request;
    request.method = "POST";
    request.target = settings_.direct
                         ? "/"
                         : "/v1/services/" + settings_.service + "/requests";
    request.headers.Set("Content-Type", "application/json");
    request.headers.Set("Authorization", "Bearer " + account.token);
    request.headers.Set("Thornplank-Account", account.account);
    request.headers.Set("Thornplank-Deadline-Ms",
                        std::to_string(settings_.deadline.count()));
    if (settings_.direct) {
      request.headers.Set("Thornplank-Request-Id", planned.id);
    }
    if (!planned.key.empty()) {
      request.headers.Set("Idempotency-Key", planned.key);
      request.headers.Set(
          "Idempotency-Key-Time",
          std::to_string(ToUnixMilliseconds(std::chrono::system_clock::now())));
    }
    request.body = MakeBody(planned.id, settings_.body_bytes);
    return request;
  }

  void Send(const PlannedRequest& planned, Time start) {
    HttpSendOptions options;
    options.timeout = settings_.deadline + kTimeoutMargin;
    const Time sent = std::chrono::steady_clock::now();
    HistoryRecord record;
    record.id = planned.id;
    record.key = planned.key;
    record.digest = BodyDigest(MakeBody(planned.id, settings_.body_bytes));
    record.account = settings_.accounts[planned.account].account;
    record.entry = settings_.entries[planned.entry];
    record.sent_us =
        std::chrono::duration_cast<std::chrono::microseconds>(sent - start)
            .count();
    http_.Send(record.entry, MakeRequest(planned), options,
               [this, planned, record, sent](
                   std::optional<HttpResponse> response, const HttpFailure&) {
                 RecordOutcome(planned, record, sent, std::move(response));
               });
  }

  void RecordOutcome(const PlannedRequest& planned, HistoryRecord record,
                     Time sent, const std::optional<HttpResponse>& response) {
    record.latency_us = std::chrono::duration_cast<std::chrono::microseconds>(
                            std::chrono::steady_clock::now() - sent)
                            .count();
    if (response.has_value()) {
      record.status = response->status;
      record.outcome = OutcomeOf(*response, settings_.direct);
      record.own_answer = record.outcome == Outcome::kAnswered &&
                          IsOwnAnswer(*response, planned);
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    history_.push_back(std::move(record));
    all_done_.notify_one();
  }

  LoadSettings settings_;
  std::mt19937_64 random_;
  HttpClient http_;
  // Guards `history_`.
  std::mutex mutex_;
  std::condition_variable all_done_;
  std::vector<HistoryRecord> history_;
};

LoadGenerator::LoadGenerator(IoPool& pool, LoadSettings settings)
    : impl_(std::make_unique<Impl>(pool, std::move(settings))) {}
LoadGenerator::~LoadGenerator() = default;

std::vector<HistoryRecord> LoadGenerator::Run() { return impl_->Run(); }

}  // namespace thornplank
