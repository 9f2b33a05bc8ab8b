// JobManager forwards all calls to its Impl.
#include "jobs/job_manager.h"

#include <utility>

#include "api/api_router.h"
#include "jobs/job_manager_impl.h"
#include "jobs/job_routes.h"

namespace thornplank {

JobManager::JobManager(boost::asio::io_context& io, HttpClient& http,
                       LogClient& log, PeerMesh* mesh,
                       JobManagerSettings settings, MetricsRegistry& metrics)
    : impl_(
          std::make_shared<Impl>(io, http, log, std::move(settings), metrics)) {
  impl_->Initialize(mesh, metrics);
}

JobManager::~JobManager() { impl_->Stop(); }

void JobManager::RegisterRoutes(ApiRouter& router) {
  AddJobRoutes(impl_, impl_->max_listed_jobs(), &router);
}

void JobManager::SetWorkers(const std::vector<WorkerInfo>& workers) {
  impl_->SetWorkers(workers);
}

void JobManager::SetGuarantees(const std::vector<AccountGuarantee>& accounts) {
  impl_->SetGuarantees(accounts);
}

void JobManager::SetEvents(const std::vector<EventReservation>& events) {
  impl_->SetEvents(events);
}

void JobManager::SetLiveEntries(const std::vector<std::string>& names) {
  impl_->SetLiveEntries(names);
}

void JobManager::Start() { impl_->Start(); }

void JobManager::Drain(std::function<void()> done) {
  impl_->Drain(std::move(done));
}

void JobManager::Stop() { impl_->Stop(); }

bool JobManager::is_coordinator() const { return impl_->is_coordinator(); }

int64_t JobManager::epoch() const { return impl_->current_epoch().number; }

std::string JobManager::coordinator() const {
  const CoordinatorEpoch epoch = impl_->current_epoch();
  return epoch.resigned ? "" : epoch.holder;
}

int64_t JobManager::jobs_offset() const { return impl_->jobs_offset(); }

bool JobManager::ready() const { return impl_->ready(); }

std::string JobManager::not_ready_reason() const {
  return impl_->not_ready_reason();
}

Json JobManager::ProduceSnapshot() const { return impl_->ProduceSnapshot(); }

bool JobManager::ConsumeSnapshot(const Json& snapshot, Error* error) {
  return impl_->ConsumeSnapshot(snapshot, error);
}

}  // namespace thornplank
