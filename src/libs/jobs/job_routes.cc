// Handlers of the routes under /v1/jobs.
#include "jobs/job_routes.h"

#include <utility>

#include "logging/events/jobs_events.h"

namespace thornplank {
namespace {

constexpr int kAccepted = 202;
constexpr int kBadRequest = 400;
constexpr int kForbidden = 403;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kUnprocessable = 422;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;
constexpr char kOutcomeHeader[] = "Thornplank-Outcome";

std::string Dump(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

HttpResponse NotRun(const std::string& detail, std::chrono::seconds retry) {
  HttpResponse response = ProblemResponse(kUnavailable, "Not run", detail);
  response.headers.Set(kOutcomeHeader, "not-run");
  response.headers.Set("Retry-After", std::to_string(retry.count()));
  return response;
}

HttpResponse Forbidden(const std::string& detail) {
  return ProblemResponse(kForbidden, "Forbidden", detail);
}

HttpResponse ToResponse(const std::string& id, const JobChangeResult& result,
                        std::chrono::seconds retry) {
  using Outcome = JobChangeResult::Outcome;
  switch (result.outcome) {
    case Outcome::kAccepted:
      return JsonResponse(
          kAccepted, Dump({{"id", id},
                           {"phase", std::string(JobPhaseName(result.phase))},
                           {"reason", result.reason}}));
    case Outcome::kConflict:
      return ProblemResponse(kConflict, "Conflict", result.reason);
    case Outcome::kNotRun:
      return NotRun(result.reason, retry);
    case Outcome::kNoSuchJob:
      return ProblemResponse(kNotFound, "No such job", id);
    case Outcome::kUnknown:
      break;
  }
  HttpResponse response = ProblemResponse(
      kGatewayTimeout, "Outcome unknown",
      result.reason + "; job id " + id + " may be repeated safely");
  response.headers.Set(kOutcomeHeader, "unknown");
  response.headers.Set("Thornplank-Job-Id", id);
  return response;
}

// Whether `caller` may read or change jobs of `account`.
bool MayAct(const Caller& caller, const std::string& account) {
  return caller.role != Role::kCaller || caller.account == account;
}

// Sets the job's account to the caller's if the job names none. Returns false
// and sets `*refusal` if the caller may not act for the account.
bool ResolveAccount(const Caller& caller, JobRequest* job,
                    HttpResponse* refusal) {
  if (caller.role == Role::kViewer) {
    *refusal = Forbidden("a viewer changes nothing");
    return false;
  }
  if (job->spec.account.empty()) job->spec.account = caller.account;
  if (job->spec.account.empty()) {
    *refusal =
        ProblemResponse(kBadRequest, "Bad request", "the job names no account");
    return false;
  }
  if (MayAct(caller, job->spec.account)) return true;
  *refusal = Forbidden("this token belongs to account " + caller.account);
  return false;
}

void HandleSubmit(const std::shared_ptr<JobAccess>& access,
                  const HttpRequest& request, const Caller& caller,
                  const HttpServer::Responder& respond) {
  const std::optional<Json> body = ParseJson(request.body);
  Error error;
  std::optional<JobRequest> job;
  if (body) job = DecodeJobRequest(*body, &error);
  if (!job) {
    respond(ProblemResponse(kBadRequest, "Bad request",
                            body ? error.reason : "the body is not JSON"));
    return;
  }
  HttpResponse refusal;
  if (!ResolveAccount(caller, &*job, &refusal)) {
    respond(std::move(refusal));
    return;
  }
  if (const auto reason = access->CheckCanRun(job->spec)) {
    LogEvent(events::kJobRefused,
             {{"account", job->spec.account}, {"reason", *reason}});
    respond(ProblemResponse(kUnprocessable, "Can never run", *reason));
    return;
  }
  if (job->spec.id.empty()) job->spec.id = access->NewJobId();
  const std::string id = job->spec.id;
  access->Submit(*job, [id, respond, retry = access->retry_after()](
                           const JobChangeResult& result) {
    respond(ToResponse(id, result, retry));
  });
}

// The job, or nullopt after an error response was sent: 503 before the entry is
// ready, 404 if there is no such job. A job of another account is reported as
// 404 too, so that the response does not reveal that its id exists.
std::optional<JobEntry> FindVisibleJob(const std::shared_ptr<JobAccess>& access,
                                       const Caller& caller,
                                       const std::string& id,
                                       const HttpServer::Responder& respond) {
  if (!access->ready()) {
    respond(NotRun("the job stream is not folded yet", access->retry_after()));
    return std::nullopt;
  }
  std::optional<JobEntry> entry = access->Find(id);
  if (!entry || !MayAct(caller, entry->request.spec.account)) {
    respond(ProblemResponse(kNotFound, "No such job", id));
    return std::nullopt;
  }
  return entry;
}

void HandleRead(const std::shared_ptr<JobAccess>& access, const Caller& caller,
                const std::string& id, const HttpServer::Responder& respond) {
  const std::optional<JobEntry> entry =
      FindVisibleJob(access, caller, id, respond);
  if (entry) respond(JsonResponse(200, Dump(JobToJson(*entry))));
}

void HandleList(const std::shared_ptr<JobAccess>& access, size_t limit,
                const HttpRequest& request, const Caller& caller,
                const HttpServer::Responder& respond) {
  std::string account = request.query("account");
  if (caller.role == Role::kCaller) {
    if (account.empty()) account = caller.account;
    if (!MayAct(caller, account)) {
      respond(Forbidden("this token belongs to account " + caller.account));
      return;
    }
  }
  if (!access->ready()) {
    respond(NotRun("the job stream is not folded yet", access->retry_after()));
    return;
  }
  Json jobs = Json::array();
  for (const JobEntry& entry : access->List(account, limit)) {
    jobs.push_back(JobToJson(entry));
  }
  respond(JsonResponse(200, Dump({{"jobs", std::move(jobs)}})));
}

void HandleCancel(const std::shared_ptr<JobAccess>& access,
                  const Caller& caller, const std::string& id,
                  const HttpServer::Responder& respond) {
  if (caller.role == Role::kViewer) {
    respond(Forbidden("a viewer changes nothing"));
    return;
  }
  if (!FindVisibleJob(access, caller, id, respond)) return;
  access->Cancel(id, caller.token_name,
                 [id, respond, retry = access->retry_after()](
                     const JobChangeResult& result) {
                   respond(ToResponse(id, result, retry));
                 });
}

Json TimeToJson(const std::optional<WallTime>& time) {
  return time ? Json(ToUnixMilliseconds(*time)) : Json();
}

}  // namespace

void AddJobRoutes(const std::shared_ptr<JobAccess>& access,
                  size_t max_listed_jobs, ApiRouter* router) {
  router->Add("POST", "/v1/jobs", Role::kCaller,
              [access](const HttpRequest& request, const Caller& caller,
                       const PathParameters&, HttpServer::Responder respond) {
                HandleSubmit(access, request, caller, respond);
              });
  router->Add("GET", "/v1/jobs", Role::kCaller,
              [access, max_listed_jobs](
                  const HttpRequest& request, const Caller& caller,
                  const PathParameters&, HttpServer::Responder respond) {
                HandleList(access, max_listed_jobs, request, caller, respond);
              });
  router->Add("GET", "/v1/jobs/{id}", Role::kCaller,
              [access](const HttpRequest&, const Caller& caller,
                       const PathParameters& parameters,
                       HttpServer::Responder respond) {
                HandleRead(access, caller, parameters.at("id"), respond);
              });
  router->Add("DELETE", "/v1/jobs/{id}", Role::kCaller,
              [access](const HttpRequest&, const Caller& caller,
                       const PathParameters& parameters,
                       HttpServer::Responder respond) {
                HandleCancel(access, caller, parameters.at("id"), respond);
              });
}

Json JobToJson(const JobEntry& entry) {
  Json json = EncodeJobRequest(entry.request);
  json["phase"] = std::string(JobPhaseName(entry.phase));
  json["reason"] = entry.reason;
  json["attempts"] = entry.attempts;
  json["progress_ms"] = entry.progress.count();
  json["gang_id"] = entry.gang_id;
  json["gang"] = EncodeMembers(entry.members);
  json["submitted_ms"] = TimeToJson(entry.submitted_at);
  json["running_ms"] = TimeToJson(entry.running_at);
  json["ended_ms"] = TimeToJson(entry.ended_at);
  return json;
}

}  // namespace thornplank
