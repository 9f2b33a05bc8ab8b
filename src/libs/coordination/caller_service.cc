// Routing, checking and answering of the requests of callers.
#include "coordination/caller_service.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <utility>

#include "logging/events/coordination_events.h"
#include "net/problem_response.h"

namespace thornplank {
namespace {

constexpr int kUnavailable = 503;

// Reasons for not serving a call.
constexpr CallerService::Refusal kNotConfigured{kUnavailable, "not_configured",
                                                "no configuration yet"};
constexpr CallerService::Refusal kNoQueue{404, "no_queue", "no such queue"};
constexpr CallerService::Refusal kKeysUnconfirmed{
    kUnavailable, "keys_unconfirmed", "keys were not confirmed lately"};
constexpr CallerService::Refusal kUnknownKey{401, "unknown_key", "unknown key"};
constexpr CallerService::Refusal kTooLarge{413, "too_large",
                                           "the body is too large"};
constexpr CallerService::Refusal kQueueIsReadOnly{405, "method",
                                                  "a queue can only be read"};
constexpr CallerService::Refusal kWrongMethod{
    405, "method", "a job takes POST, GET and DELETE"};
constexpr CallerService::Refusal kWrongId{
    404, "wrong_id", "a job's id is 16 hexadecimal digits"};
constexpr CallerService::Refusal kMalformed{400, "malformed",
                                            "the body cannot be read"};
constexpr CallerService::Refusal kStoreUnavailable{kUnavailable, "store_away",
                                                   "the store is away"};
constexpr CallerService::Refusal kNotStored{kUnavailable, "not_stored",
                                            "the store took it not"};
// The only refusal after which the record may be stored; all others guarantee
// that it is not, so that the job has not run.
constexpr CallerService::Refusal kOutcomeUnknown{504, "undecided",
                                                 "the store did not answer"};
constexpr CallerService::Refusal kNoJob{410, "no_job", "no such job"};

// The time-out of a read grows with the latency of the store, so that a slow
// store is not taken for one that does not answer.
constexpr int kRefreshLatencyFactor = 2;

int64_t AgeInMilliseconds(BootTime since) {
  return std::chrono::duration_cast<Milliseconds>(BootClock::now() - since)
      .count();
}

}  // namespace

struct CallerService::Call {
  HttpRequest request;
  HttpServer::Responder respond;
  QueueConfiguration queue;
  std::string account;
  std::string job;
  int64_t configuration_version = 0;
  Time received{};
  // When the caller's own time-out expires.
  Time deadline = Time::max();
};

CallerService::CallerService(boost::asio::io_context& io, RecordStore& store,
                             const Formats& formats,
                             CallerServiceSettings settings,
                             Dependencies dependencies,
                             MetricsRegistry& metrics)
    : io_(io),
      store_(store),
      formats_(formats),
      settings_(std::move(settings)),
      dependencies_(std::move(dependencies)),
      metrics_(metrics),
      accepted_(metrics.counter("thornplank_jobs_accepted_total",
                                "Submissions that were stored.")),
      cancelled_(metrics.counter("thornplank_jobs_cancelled_total",
                                 "Cancellations that were stored.")),
      acknowledgement_time_(
          metrics.histogram("thornplank_acknowledgement_seconds",
                            "From a whole submission to its answer.")) {}

CallerService::~CallerService() { *alive_ = false; }

bool CallerService::IsStoreFresh() const {
  return dependencies_.board_tail->has_snapshot() &&
         BootClock::now() - dependencies_.board_tail->as_of() <
             settings_.max_store_age;
}

bool CallerService::ready() const {
  return dependencies_.configuration() != nullptr && IsStoreFresh() &&
         !dependencies_.served_elsewhere();
}

bool CallerService::RefuseIfServedElsewhere(const std::shared_ptr<Call>& call) {
  if (!dependencies_.served_elsewhere()) return false;
  Refuse(call, kStoreUnavailable);
  return true;
}

void CallerService::Handle(HttpRequest request, HttpServer::Responder respond) {
  auto call = std::make_shared<Call>();
  call->received = std::chrono::steady_clock::now();
  call->request = std::move(request);
  call->respond = std::move(respond);
  const ServingConfiguration* configuration = dependencies_.configuration();
  if (configuration == nullptr) {
    return Refuse(call, kNotConfigured);
  }
  call->configuration_version = configuration->version;
  const std::string path = call->request.path();
  const CallerHeaders headers = formats_.ReadHeaders(call->request);
  if (headers.timeout.count() > 0) {
    call->deadline = call->received + headers.timeout;
  }
  const QueueConfiguration* queue =
      configuration->FindQueue(headers.host, path);
  if (queue == nullptr) return Refuse(call, kNoQueue);
  call->queue = *queue;
  call->job = path.substr(queue->prefix.size());
  if (!queue->is_public) {
    const auto age = BootClock::now() - dependencies_.configuration_as_of();
    if (age > settings_.max_configuration_age) {
      return Refuse(call, kKeysUnconfirmed);
    }
    const AccountConfiguration* account =
        configuration->FindAccount(headers.key);
    if (account == nullptr) return Refuse(call, kUnknownKey);
    call->account = account->name;
  }
  if (call->request.body.size() > configuration->max_body_bytes) {
    return Refuse(call, kTooLarge);
  }
  const std::string& method = call->request.method;
  if (call->job.empty()) {
    if (method == "GET") return AnswerQueueLength(call);
    return Refuse(call, kQueueIsReadOnly);
  }
  if (!IsJobId(call->job)) {
    return Refuse(call, kWrongId);
  }
  if (method == "POST") return Submit(call);
  if (method == "GET") return AnswerState(call, /*caught_up=*/false);
  if (method == "DELETE") return Cancel(call, /*caught_up=*/false);
  Refuse(call, kWrongMethod);
}

void CallerService::Submit(const std::shared_ptr<Call>& call) {
  if (dependencies_.board->Find(call->job) != nullptr) {
    return Respond(call, HttpResponse());
  }
  Error error;
  std::optional<JobDefinition> job =
      formats_.ReadJob(call->request.body, &error);
  if (!job) return Refuse(call, kMalformed, error.reason);
  job->id = call->job;
  job->account = call->account;
  job->policy = call->queue.policy;
  job->accepted = std::chrono::system_clock::now();
  std::string reason;
  if (!IsValidJob(*job, &reason)) return Refuse(call, kMalformed, reason);
  if (!IsStoreFresh()) return Refuse(call, kStoreUnavailable);
  if (RefuseIfServedElsewhere(call)) return;
  // A scheduled job has an objective for each occurrence and a long-running job
  // has none, so only the objective of other jobs is logged.
  const bool ends_once = !job->scheduled() && !job->long_running();
  const Milliseconds objective =
      ends_once ? job->objective() : Milliseconds::zero();
  Append(JobBoard::Submission(*job), call->deadline,
         [this, call, objective](StoreOutcome outcome, const Error& error) {
           if (outcome != StoreOutcome::kStored) {
             return RefuseUnstored(call, outcome, error);
           }
           accepted_.Add();
           acknowledgement_time_.Observe(std::chrono::steady_clock::now() -
                                         call->received);
           LogEvent(events::kJobAccepted,
                    {{"job", call->job},
                     {"account", call->account},
                     {"queue", call->queue.policy.queue},
                     {"objective_ms", objective.count()},
                     {"configuration", call->configuration_version}});
           Respond(call, HttpResponse());
         });
}

void CallerService::AnswerState(const std::shared_ptr<Call>& call,
                                bool caught_up) {
  const BoardJob* job = dependencies_.board->Find(call->job);
  if (job == nullptr && !caught_up) {
    return CatchUp(call, &CallerService::AnswerState);
  }
  if (job == nullptr) return Refuse(call, kNoJob);
  if (!caught_up && !IsTerminal(job->state()) && IsStateStale()) {
    return RefreshState(call);
  }
  const JobState state = job->state();
  LogEvent(events::kStateAnswered,
           {{"job", call->job}, {"state", std::string(ToText(state))}});
  const std::string failure = state == JobState::kFailed ? job->failure : "";
  Respond(call, formats_.JobStateResponse(state, failure));
}

void CallerService::Cancel(const std::shared_ptr<Call>& call, bool caught_up) {
  const BoardJob* job = dependencies_.board->Find(call->job);
  if (job == nullptr && !caught_up) {
    return CatchUp(call, &CallerService::Cancel);
  }
  if (job == nullptr) return Refuse(call, kNoJob);
  if (IsTerminal(job->state())) return Respond(call, HttpResponse());
  if (RefuseIfServedElsewhere(call)) return;
  Append(JobBoard::Cancellation(call->job), call->deadline,
         [this, call](StoreOutcome outcome, const Error& error) {
           if (outcome != StoreOutcome::kStored) {
             return RefuseUnstored(call, outcome, error);
           }
           cancelled_.Add();
           LogEvent(events::kJobCancelled, {{"job", call->job}});
           Respond(call, HttpResponse());
         });
}

void CallerService::CatchUp(
    const std::shared_ptr<Call>& call,
    void (CallerService::*then)(const std::shared_ptr<Call>&, bool)) {
  if (RefuseIfServedElsewhere(call)) return;
  dependencies_.board_tail->CatchUp(
      settings_.catch_up_timeout,
      [this, alive = alive_, call, then](bool caught_up) {
        if (!*alive) return;
        if (caught_up) return (this->*then)(call, true);
        Refuse(call, kStoreUnavailable);
      });
}

bool CallerService::IsStateStale() const {
  return BootClock::now() - dependencies_.board_tail->as_of() >
         settings_.max_state_age;
}

// If the store does not answer, a state that is not final is not returned:
// another entry may already have returned the final state.
void CallerService::RefreshState(const std::shared_ptr<Call>& call) {
  if (RefuseIfServedElsewhere(call)) return;
  const Duration latency = dependencies_.board_tail->latency();
  const auto timeout =
      settings_.refresh_timeout +
      std::chrono::duration_cast<Milliseconds>(latency) * kRefreshLatencyFactor;
  dependencies_.board_tail->CatchUp(
      timeout, [this, alive = alive_, call](bool caught_up) {
        if (!*alive) return;
        if (!caught_up) return Refuse(call, kStoreUnavailable);
        AnswerState(call, /*caught_up=*/true);
      });
}

void CallerService::AnswerQueueLength(const std::shared_ptr<Call>& call) {
  if (!IsStoreFresh()) return Refuse(call, kStoreUnavailable);
  Respond(call, formats_.QueueLengthResponse(dependencies_.board->WaitingJobs(
                    call->queue.policy.queue)));
}

void CallerService::Append(KeyedRecord record, Time deadline, AppendDone done) {
  auto request = std::make_shared<AppendRequest>();
  request->partition = settings_.board;
  request->records.push_back(std::move(record));
  TryAppend(request, deadline, settings_.max_append_attempts,
            /*may_be_stored=*/false, std::move(done));
}

void CallerService::TryAppend(const std::shared_ptr<AppendRequest>& request,
                              Time deadline, int attempts_left,
                              bool may_be_stored, AppendDone done) {
  const auto time_left = std::chrono::duration_cast<Milliseconds>(
      deadline - std::chrono::steady_clock::now());
  if (time_left < settings_.response_margin * 2) attempts_left = 1;
  const Milliseconds timeout =
      std::clamp(time_left - settings_.response_margin,
                 settings_.response_margin, settings_.append_timeout);
  store_.Append(
      *request, timeout,
      [this, alive = alive_, request, deadline, attempts_left, may_be_stored,
       done = std::move(done)](const AppendResult& result) mutable {
        if (!*alive) return;
        if (result.outcome == StoreOutcome::kStored) {
          return done(result.outcome, {});
        }
        may_be_stored =
            may_be_stored || result.outcome == StoreOutcome::kUnknown;
        if (attempts_left <= 1) {
          return done(
              may_be_stored ? StoreOutcome::kUnknown : StoreOutcome::kRefused,
              result.error);
        }
        auto timer = std::make_shared<boost::asio::steady_timer>(
            io_, settings_.append_retry_delay);
        timer->async_wait([this, alive, timer, request, deadline, attempts_left,
                           may_be_stored, done = std::move(done)](
                              const boost::system::error_code& code) mutable {
          if (code || !*alive) return;
          TryAppend(request, deadline, attempts_left - 1, may_be_stored,
                    std::move(done));
        });
      });
}

void CallerService::RefuseUnstored(const std::shared_ptr<Call>& call,
                                   StoreOutcome outcome, const Error& error) {
  const bool may_be_stored = outcome == StoreOutcome::kUnknown;
  Refuse(call, may_be_stored ? kOutcomeUnknown : kNotStored, error.ToString());
}

void CallerService::Refuse(const std::shared_ptr<Call>& call,
                           const Refusal& refusal, const std::string& detail) {
  const std::string reason = detail.empty() ? refusal.text : detail;
  const Event& event = refusal.status == kOutcomeUnknown.status
                           ? events::kJobUndecided
                           : events::kJobRefused;
  LogEvent(event, {{"job", call->job},
                   {"method", call->request.method},
                   {"status", refusal.status},
                   {"cause", refusal.cause},
                   {"reason", reason},
                   {"configuration", call->configuration_version},
                   {"configuration_age_ms",
                    AgeInMilliseconds(dependencies_.configuration_as_of())},
                   {"board_age_ms",
                    AgeInMilliseconds(dependencies_.board_tail->as_of())}});
  metrics_
      .counter("thornplank_refusals_total",
               "Calls that were not served, by cause.",
               {{"cause", refusal.cause}})
      .Add();
  HttpResponse response = ProblemResponse(
      refusal.status, {"answer", call->request.remote_address, reason});
  if (refusal.status == kUnavailable) {
    const auto wait = dependencies_.served_elsewhere() ? std::chrono::seconds(0)
                                                       : settings_.retry_after;
    response.headers.Set("Retry-After", std::to_string(wait.count()));
  }
  Respond(call, std::move(response));
}

void CallerService::Respond(const std::shared_ptr<Call>& call,
                            HttpResponse response) {
  metrics_
      .counter("thornplank_caller_answers_total", "Answers to callers.",
               {{"method", call->request.method},
                {"status", std::to_string(response.status)}})
      .Add();
  call->respond(std::move(response));
}

}  // namespace thornplank
