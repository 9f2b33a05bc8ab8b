// Forwards the calls of RequestManager to RequestManager::Impl.
#include "requests/request_manager.h"

#include <utility>

#include "requests/request_manager_impl.h"

namespace thornplank {
namespace {

constexpr char kRoute[] = "/v1/services/{service}/requests";

}  // namespace

RequestManager::RequestManager(boost::asio::io_context& io, HttpClient& http,
                               PeerMesh* mesh, LogClient& log,
                               MetricsRegistry& metrics,
                               RequestManagerSettings settings)
    : impl_(std::make_shared<Impl>(io, http, mesh, log, metrics, settings)) {
  impl_->Connect();
}

RequestManager::~RequestManager() { Stop(); }

void RequestManager::RegisterRoutes(ApiRouter& router) {
  router.Add("POST", kRoute, Role::kCaller,
             [impl = impl_](const HttpRequest& request, const Caller& caller,
                            const PathParameters& parameters,
                            HttpServer::Responder respond) {
               impl->Handle(request, caller, parameters, std::move(respond));
             });
}

void RequestManager::Start() { impl_->Start(); }

void RequestManager::Stop() { impl_->Stop(); }

void RequestManager::SetAccounts(const std::vector<AccountLimits>& accounts) {
  impl_->SetAccounts(accounts);
}

void RequestManager::SetExecutors(const std::vector<ExecutorInfo>& executors) {
  impl_->SetExecutors(executors);
}

void RequestManager::SetLiveEntries(const std::vector<std::string>& names) {
  impl_->SetLiveEntries(names);
}

void RequestManager::SetReachableEntries(
    const std::vector<ClaimHolder>& entries) {
  impl_->SetReachableEntries(entries);
}

void RequestManager::Drain(std::function<void()> done) {
  impl_->Drain(std::move(done));
}

size_t RequestManager::in_flight() const { return impl_->in_flight(); }

bool RequestManager::claims_ready() const { return impl_->claims_ready(); }

int64_t RequestManager::next_claims_offset() const {
  return impl_->next_claims_offset();
}

}  // namespace thornplank
