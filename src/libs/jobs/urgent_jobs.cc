// Exchange of urgent jobs between entries while the log is down.
#include "jobs/urgent_jobs.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "logging/events/jobs_events.h"

namespace thornplank {
namespace {

using Outcome = JobChangeResult::Outcome;

constexpr char kPlanType[] = "job-submit-urgent";
constexpr char kHoldType[] = "job-hold-urgent";

JobChangeResult NotRun(std::string reason) {
  return {Outcome::kNotRun, JobPhase::kWaiting, std::move(reason)};
}

JobChangeResult Unknown(const Error& error) {
  return {Outcome::kUnknown, JobPhase::kWaiting, error.ToString()};
}

JobChangeResult Accepted() {
  return {Outcome::kAccepted, JobPhase::kWaiting,
          "held by two entries until the log is back"};
}

bool IsAccepted(const Json& body) {
  return BoolField(body, "accepted").value_or(false);
}

std::optional<JobRequest> DecodeJob(const Message& message) {
  const Json* job = ObjectField(message.body, "job");
  if (job == nullptr) return std::nullopt;
  std::optional<JobRequest> request = DecodeJobRequest(*job, nullptr);
  if (request && request->spec.id.empty()) return std::nullopt;
  return request;
}

void LogHeld(const JobRequest& job, const std::string& from) {
  LogEvent(events::kUrgentJobHeld,
           {{"job", job.spec.id},
            {"from", from},
            {"reason",
             "the log is down; the job is planned and appended when "
             "it is back"}});
}

}  // namespace

UrgentJobs::UrgentJobs(std::string name, PeerMesh* mesh, Duration call_timeout,
                       Hooks hooks)
    : name_(std::move(name)),
      mesh_(mesh),
      call_timeout_(call_timeout),
      hooks_(std::move(hooks)) {}

void UrgentJobs::RegisterHandlers() {
  if (mesh_ == nullptr) return;
  const std::weak_ptr<UrgentJobs> weak = weak_from_this();
  mesh_->SetMessageHandler(kPlanType,
                           [weak](const PeerIdentity&, const Message& message,
                                  const PeerMesh::Reply& reply) {
                             if (const auto self = weak.lock()) {
                               self->HandlePlan(message, reply);
                             }
                           });
  mesh_->SetMessageHandler(kHoldType,
                           [weak](const PeerIdentity&, const Message& message,
                                  const PeerMesh::Reply& reply) {
                             if (const auto self = weak.lock()) {
                               self->HandleHold(message, reply);
                             }
                           });
}

void UrgentJobs::Submit(const JobRequest& job,
                        JobAccess::ChangeCallback callback) {
  const std::string coordinator = hooks_.coordinator();
  if (mesh_ == nullptr || coordinator.empty()) {
    callback(NotRun("the log is down and there is no coordinator"));
    return;
  }
  if (coordinator == name_) {
    SubmitAsCoordinator(job, std::move(callback));
    return;
  }
  SubmitToCoordinator(coordinator, job, std::move(callback));
}

void UrgentJobs::SubmitAsCoordinator(const JobRequest& job,
                                     JobAccess::ChangeCallback callback) {
  const std::vector<PeerIdentity> peers = mesh_->connected_peers();
  if (peers.empty()) {
    callback(NotRun("the log is down and no other entry can hold the job"));
    return;
  }
  mesh_->Call(peers.front().name, kHoldType, {{"job", EncodeJobRequest(job)}},
              call_timeout_,
              [self = shared_from_this(), job, callback = std::move(callback)](
                  const std::optional<Json>& body, const Error& error) {
                if (!body) {
                  callback(Unknown(error));
                  return;
                }
                if (!IsAccepted(*body) || !self->hooks_.plan(job)) {
                  // If only `plan` failed, the peer already holds the job.
                  callback(IsAccepted(*body)
                               ? Unknown({"plan", self->name_,
                                          "no longer the coordinator"})
                               : NotRun("the peer refused to hold the job"));
                  return;
                }
                LogHeld(job, self->name_);
                callback(Accepted());
              });
}

void UrgentJobs::SubmitToCoordinator(const std::string& coordinator,
                                     const JobRequest& job,
                                     JobAccess::ChangeCallback callback) {
  if (!IsConnected(coordinator)) {
    callback(NotRun("the log is down and there is no link to coordinator " +
                    coordinator));
    return;
  }
  mesh_->Call(coordinator, kPlanType, {{"job", EncodeJobRequest(job)}},
              call_timeout_,
              [self = shared_from_this(), job, callback = std::move(callback)](
                  const std::optional<Json>& body, const Error& error) {
                if (!body) {
                  callback(Unknown(error));
                  return;
                }
                if (!IsAccepted(*body)) {
                  callback(NotRun(StringField(*body, "reason").value_or("")));
                  return;
                }
                LogHeld(job, self->name_);
                self->hooks_.hold(job);
                callback(Accepted());
              });
}

void UrgentJobs::HandlePlan(const Message& message,
                            const PeerMesh::Reply& reply) {
  const std::optional<JobRequest> job = DecodeJob(message);
  if (!job) {
    reply({{"accepted", false}, {"reason", "malformed job"}});
    return;
  }
  if (!hooks_.plan(*job)) {
    reply({{"accepted", false}, {"reason", name_ + " is not the coordinator"}});
    return;
  }
  reply({{"accepted", true}});
}

void UrgentJobs::HandleHold(const Message& message,
                            const PeerMesh::Reply& reply) {
  const std::optional<JobRequest> job = DecodeJob(message);
  if (job) hooks_.hold(*job);
  reply({{"accepted", job.has_value()}});
}

bool UrgentJobs::IsConnected(const std::string& peer) const {
  const std::vector<PeerIdentity> peers = mesh_->connected_peers();
  return std::any_of(
      peers.begin(), peers.end(),
      [&](const PeerIdentity& identity) { return identity.name == peer; });
}

}  // namespace thornplank
