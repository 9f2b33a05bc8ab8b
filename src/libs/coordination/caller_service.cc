// Routing, checking and answering of the requests of callers.
#include "coordination/caller_service.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <utility>

#include "coordination/job_access.h"
#include "logging/events/coordination_events.h"
#include "net/problem_response.h"

namespace thornplank {
namespace {

constexpr int kUnavailable = 503;

// Reasons for not serving a call.
constexpr CallerService::Refusal kNotConfigured{kUnavailable, "not_configured",
                                                "no configuration yet", true};
constexpr CallerService::Refusal kNoQueue{404, "no_queue", "no such queue"};
constexpr CallerService::Refusal kKeysUnconfirmed{
    kUnavailable, "keys_unconfirmed", "keys were not confirmed lately", true};
constexpr CallerService::Refusal kConfigurationUnconfirmed{
    kUnavailable, "configuration_unconfirmed",
    "the configuration was not confirmed lately", true};
constexpr CallerService::Refusal kUnknownKey{401, "unknown_key", "unknown key"};
constexpr CallerService::Refusal kTooLarge{413, "too_large",
                                           "the body is too large"};
constexpr CallerService::Refusal kJobTooLarge{
    413, "job_too_large", "the job is larger than the store takes",
    /*only_here=*/false, /*detail_is_private=*/true};
constexpr CallerService::Refusal kQueueIsReadOnly{405, "method",
                                                  "a queue can only be read"};
constexpr CallerService::Refusal kWrongMethod{
    405, "method", "a job takes POST, GET and DELETE"};
constexpr CallerService::Refusal kWrongId{
    404, "wrong_id", "a job's id is 16 hexadecimal digits"};
constexpr CallerService::Refusal kMalformed{400, "malformed",
                                            "the body cannot be read"};
constexpr CallerService::Refusal kStoreUnavailable{kUnavailable, "store_away",
                                                   "the store is away", true};
constexpr CallerService::Refusal kNotStored{
    kUnavailable, "not_stored", "the store took it not",
    /*only_here=*/false, /*detail_is_private=*/true};
// The id is that of a job of another account. The response is that of
// kNotStored, so that the caller does not learn why.
constexpr CallerService::Refusal kForeignId{kUnavailable, "foreign_id",
                                            kNotStored.text};
// The job was cancelled before its submission was stored.
constexpr CallerService::Refusal kCancelledEarly{
    kUnavailable, "cancelled_early", "the job was cancelled before it came"};
constexpr CallerService::Refusal kTooManyCancellations{
    kUnavailable, "too_many_cancellations",
    "too many cancellations of unknown jobs"};
// The only refusal after which the record may be stored; all others guarantee
// that it is not, so that the job has not run.
constexpr CallerService::Refusal kOutcomeUnknown{504, "undecided",
                                                 "the store did not answer"};
constexpr CallerService::Refusal kNoJob{410, "no_job", "no such job"};

// The time-out of a read grows with the latency of the store, so that a slow
// store is not taken for one that does not answer.
constexpr int kRefreshLatencyFactor = 2;

RecordAppenderSettings AppenderSettings(const CallerServiceSettings& caller) {
  RecordAppenderSettings settings;
  settings.partition = caller.board;
  settings.limits = caller.store_limits;
  return settings;
}

int64_t AgeInMilliseconds(BootTime since) {
  return std::chrono::duration_cast<Milliseconds>(BootClock::now() - since)
      .count();
}

}  // namespace

struct CallerService::Call {
  HttpRequest request;
  AnswerCallback answer;
  CallerHeaders headers;
  // Of a forwarded call; otherwise 0.
  int64_t min_configuration = 0;
  bool forwarded = false;
  QueueConfiguration queue;
  CallerIdentity caller;
  std::string job;
  int64_t configuration_version = 0;
  Time received{};
  // When the caller's own time-out expires.
  Time deadline{};
};

CallerService::CallerService(boost::asio::io_context& io, RecordStore& store,
                             const Formats& formats,
                             CallerServiceSettings settings,
                             Dependencies dependencies,
                             MetricsRegistry& metrics)
    : formats_(formats),
      settings_(std::move(settings)),
      dependencies_(std::move(dependencies)),
      submissions_(
          io, store, AppenderSettings(settings_),
          [this](int64_t end) { dependencies_.board_tail->Expect(end); }),
      cancellations_(
          io, store, AppenderSettings(settings_),
          [this](int64_t end) { dependencies_.board_tail->Expect(end); }),
      metrics_(metrics),
      accepted_(metrics.counter("thornplank_jobs_accepted_total",
                                "Submissions that were stored.")),
      cancelled_(metrics.counter("thornplank_jobs_cancelled_total",
                                 "Cancellations that were stored.")),
      unknown_cancelled_(metrics.counter(
          "thornplank_unknown_jobs_cancelled_total",
          "Cancellations that were stored of jobs without a submission.")),
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
  call->request = std::move(request);
  call->answer = [respond = std::move(respond)](CallAnswer answer) {
    respond(std::move(answer.response));
  };
  call->received = std::chrono::steady_clock::now();
  call->headers = formats_.ReadHeaders(call->request);
  const bool has_timeout = call->headers.timeout.count() > 0;
  call->deadline = call->received + (has_timeout ? call->headers.timeout
                                                 : settings_.default_timeout);
  Begin(call);
}

void CallerService::HandleForwarded(ForwardedCall forwarded,
                                    AnswerCallback answer) {
  auto call = std::make_shared<Call>();
  call->request = std::move(forwarded.request);
  call->answer = std::move(answer);
  call->received = std::chrono::steady_clock::now();
  call->headers = formats_.ReadHeaders(call->request);
  call->deadline = call->received + forwarded.time_left;
  call->forwarded = true;
  call->min_configuration = forwarded.min_configuration;
  Begin(call);
}

void CallerService::Begin(const std::shared_ptr<Call>& call) {
  if (dependencies_.configuration() == nullptr) {
    return Refuse(call, kNotConfigured);
  }
  Route(call, /*confirmed=*/false);
}

void CallerService::Route(const std::shared_ptr<Call>& call, bool confirmed) {
  const ServingConfiguration& configuration = *dependencies_.configuration();
  call->configuration_version = configuration.version;
  const std::string path = call->request.path();
  const QueueConfiguration* queue =
      configuration.FindQueue(call->headers.host, path);
  const Refusal* refusal = queue == nullptr ? &kNoQueue : nullptr;
  if (queue != nullptr) {
    call->queue = *queue;
    call->job = path.substr(queue->prefix.size());
    call->caller.queue = queue->policy.queue;
    refusal = FindAccounts(call, configuration);
  }
  const bool is_old = NeedsConfirmation(*call, configuration);
  if (is_old && (refusal != nullptr || call->forwarded)) {
    if (!confirmed) return ConfirmConfiguration(call);
    return Refuse(call, kConfigurationUnconfirmed);
  }
  if (refusal != nullptr) return Refuse(call, *refusal);
  Serve(call, configuration.max_body_bytes);
}

bool CallerService::NeedsConfirmation(
    const Call& call, const ServingConfiguration& configuration) const {
  const auto age = BootClock::now() - dependencies_.configuration_as_of();
  return age > settings_.max_unconfirmed_age ||
         configuration.version < call.min_configuration;
}

void CallerService::ConfirmConfiguration(const std::shared_ptr<Call>& call) {
  dependencies_.refresh_configuration(
      [this, alive = alive_, call](bool is_current) {
        if (!*alive) return;
        if (!is_current) return Refuse(call, kConfigurationUnconfirmed);
        Route(call, /*confirmed=*/true);
      });
}

const CallerService::Refusal* CallerService::FindAccounts(
    const std::shared_ptr<Call>& call,
    const ServingConfiguration& configuration) const {
  call->caller.accounts.clear();
  if (call->queue.is_public) return nullptr;
  const auto age = BootClock::now() - dependencies_.configuration_as_of();
  if (age > settings_.max_configuration_age) return &kKeysUnconfirmed;
  call->caller.accounts = configuration.AccountsOf(call->headers.key);
  return call->caller.accounts.empty() ? &kUnknownKey : nullptr;
}

void CallerService::Serve(const std::shared_ptr<Call>& call,
                          size_t max_body_bytes) {
  if (call->request.body.size() > max_body_bytes) {
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

const BoardJob* CallerService::FindJob(const Call& call) const {
  const BoardJob* job = dependencies_.board->Find(call.job);
  return job != nullptr && MayAccess(call.caller, *job->spec) ? job : nullptr;
}

bool CallerService::ReportForeignJob(const Call& call) {
  const BoardJob* job = dependencies_.board->Find(call.job);
  if (job == nullptr || MayAccess(call.caller, *job->spec)) return false;
  LogEvent(events::kForeignJobCalled,
           {{"job", call.job},
            {"method", call.request.method},
            {"queue", call.caller.queue},
            {"account", call.caller.account()},
            {"owner", job->spec->account},
            {"configuration", call.configuration_version}});
  metrics_
      .counter("thornplank_foreign_job_calls_total",
               "Calls on a job of another account.",
               {{"method", call.request.method}})
      .Add();
  return true;
}

void CallerService::RefuseUnknownJob(const std::shared_ptr<Call>& call) {
  ReportForeignJob(*call);
  Refuse(call, kNoJob);
}

void CallerService::Submit(const std::shared_ptr<Call>& call) {
  if (const BoardJob* known = FindJob(*call)) {
    if (known->cancelled_early) return RefuseCancelled(call);
    return Respond(call, HttpResponse());
  }
  Error error;
  std::optional<JobDefinition> job =
      formats_.ReadJob(call->request.body, &error);
  if (!job) return Refuse(call, kMalformed, error.reason);
  job->id = call->job;
  job->account = call->caller.account();
  job->policy = call->queue.policy;
  job->accepted = std::chrono::system_clock::now();
  std::string reason;
  if (!IsValidJob(*job, &reason)) return Refuse(call, kMalformed, reason);
  if (!IsStoreFresh()) return Refuse(call, kStoreUnavailable);
  if (RefuseIfServedElsewhere(call)) return;
  const bool is_foreign = ReportForeignJob(*call);
  if (dependencies_.board->early_cancellations().FindFor(*job) != nullptr) {
    return RefuseCancelled(call);
  }
  if (is_foreign) return Refuse(call, kForeignId);
  // A scheduled job has an objective for each occurrence and a long-running job
  // has none, so only the objective of other jobs is logged.
  const bool ends_once = !job->scheduled() && !job->long_running();
  const Milliseconds objective =
      ends_once ? job->objective() : Milliseconds::zero();
  submissions_.Append(
      JobBoard::Submission(*job), ResponseDeadline(*call),
      [this, call, objective](StoreOutcome outcome, const Error& error) {
        if (outcome != StoreOutcome::kStored) {
          return RefuseUnstored(call, outcome, error);
        }
        ConfirmSubmission(call, objective);
      });
}

// The records before the submission show whether it was cancelled early; others
// may have stored them since this entry last read the board.
void CallerService::ConfirmSubmission(const std::shared_ptr<Call>& call,
                                      Milliseconds objective) {
  const auto time_left = std::chrono::duration_cast<Milliseconds>(
      ResponseDeadline(*call) - std::chrono::steady_clock::now());
  dependencies_.board_tail->AwaitExpected(
      std::min(settings_.confirm_timeout, time_left),
      [this, alive = alive_, call, objective](bool) {
        if (!*alive) return;
        const BoardJob* job = FindJob(*call);
        if (job != nullptr && job->cancelled_early) {
          return RefuseCancelled(call);
        }
        accepted_.Add();
        acknowledgement_time_.Observe(std::chrono::steady_clock::now() -
                                      call->received);
        LogEvent(events::kJobAccepted,
                 {{"job", call->job},
                  {"account", call->caller.account()},
                  {"queue", call->queue.policy.queue},
                  {"objective_ms", objective.count()},
                  {"configuration", call->configuration_version}});
        Respond(call, HttpResponse());
      });
}

// The id can be used again once the cancellation has expired.
void CallerService::RefuseCancelled(const std::shared_ptr<Call>& call) {
  Refuse(call, kCancelledEarly, "", kEarlyCancellationTtl);
}

void CallerService::AnswerState(const std::shared_ptr<Call>& call,
                                bool caught_up) {
  const BoardJob* job = FindJob(*call);
  if (job == nullptr && !caught_up) {
    return CatchUp(call, &CallerService::AnswerState);
  }
  if (job == nullptr) return RefuseUnknownJob(call);
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
  const BoardJob* job = FindJob(*call);
  if (job == nullptr && !caught_up) {
    return CatchUp(call, &CallerService::Cancel);
  }
  if (job == nullptr) return CancelUnknown(call);
  if (IsTerminal(job->state())) return Respond(call, HttpResponse());
  if (RefuseIfServedElsewhere(call)) return;
  cancellations_.Append(JobBoard::Cancellation(call->job),
                        ResponseDeadline(*call),
                        [this, call](StoreOutcome outcome, const Error& error) {
                          if (outcome != StoreOutcome::kStored) {
                            return RefuseUnstored(call, outcome, error);
                          }
                          cancelled_.Add();
                          LogEvent(events::kJobCancelled, {{"job", call->job}});
                          Respond(call, HttpResponse());
                        });
}

// A submission of the job may be on its way to the store, and none of its tasks
// may start once the caller was told that there is no such job. A job of
// another account is treated alike, so that the caller does not learn of it;
// the cancellation does not bind it.
void CallerService::CancelUnknown(const std::shared_ptr<Call>& call) {
  const EarlyCancellations& known = dependencies_.board->early_cancellations();
  const WallTime now = std::chrono::system_clock::now();
  if (known.IsRepeated(call->job, call->caller, now)) {
    return RefuseUnknownJob(call);
  }
  if (RefuseIfServedElsewhere(call)) return;
  if (known.IsFull(call->caller)) return Refuse(call, kTooManyCancellations);
  cancellations_.Append(
      EarlyCancellations::ToRecord({call->job, call->caller, now}),
      ResponseDeadline(*call),
      [this, call](StoreOutcome outcome, const Error& error) {
        if (outcome != StoreOutcome::kStored) {
          return RefuseUnstored(call, outcome, error);
        }
        unknown_cancelled_.Add();
        LogEvent(events::kUnknownJobCancelled,
                 {{"job", call->job},
                  {"account", call->caller.account()},
                  {"queue", call->caller.queue}});
        RefuseUnknownJob(call);
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

Time CallerService::ResponseDeadline(const Call& call) const {
  return call.deadline - settings_.response_margin;
}

void CallerService::RefuseUnstored(const std::shared_ptr<Call>& call,
                                   StoreOutcome outcome, const Error& error) {
  if (outcome == StoreOutcome::kRejected) {
    return Refuse(call, kJobTooLarge, error.reason);
  }
  const bool may_be_stored = outcome == StoreOutcome::kUnknown;
  Refuse(call, may_be_stored ? kOutcomeUnknown : kNotStored, error.ToString());
}

void CallerService::Refuse(const std::shared_ptr<Call>& call,
                           const Refusal& refusal, const std::string& detail,
                           std::optional<std::chrono::seconds> retry_after) {
  const std::string reason = detail.empty() ? refusal.text : detail;
  const std::string told = refusal.detail_is_private ? refusal.text : reason;
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
                    AgeInMilliseconds(dependencies_.board_tail->as_of())},
                   {"board_next", dependencies_.board_tail->next_offset()}});
  metrics_
      .counter("thornplank_refusals_total",
               "Calls that were not served, by cause.",
               {{"cause", refusal.cause}})
      .Add();
  HttpResponse response = ProblemResponse(
      refusal.status, {"answer", call->request.remote_address, told});
  if (refusal.status == kUnavailable) {
    const auto usual = dependencies_.served_elsewhere()
                           ? std::chrono::seconds(0)
                           : settings_.retry_after;
    const auto wait = retry_after.value_or(usual);
    response.headers.Set("Retry-After", std::to_string(wait.count()));
  }
  Respond(call, std::move(response), &refusal);
}

void CallerService::Respond(const std::shared_ptr<Call>& call,
                            HttpResponse response, const Refusal* refusal) {
  metrics_
      .counter("thornplank_caller_answers_total", "Answers to callers.",
               {{"method", call->request.method},
                {"status", std::to_string(response.status)}})
      .Add();
  CallAnswer answer;
  answer.response = std::move(response);
  answer.configuration = call->configuration_version;
  answer.try_next = refusal != nullptr && refusal->only_here;
  answer.store_lost = answer.try_next && !IsStoreFresh();
  call->answer(std::move(answer));
}

}  // namespace thornplank
