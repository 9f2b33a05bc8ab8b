// Claims from their append to their outcome, and the waiters for them.
#include "requests/claim_manager.h"

#include <boost/asio/io_context.hpp>
#include <utility>

#include "logging/events/claims_events.h"
#include "metrics/metrics_registry.h"
#include "requests/claim_manager_impl.h"
#include "requests/claim_messages.h"

namespace thornplank {
namespace {

ClaimTableSettings ToTableSettings(const RequestManagerSettings& settings) {
  ClaimTableSettings result;
  result.self = settings.self;
  result.window = settings.claim_window;
  result.max_key_time_ahead = settings.max_key_time_ahead;
  result.max_clock_skew = settings.max_clock_skew;
  result.max_keys = settings.max_claim_keys;
  return result;
}

}  // namespace

ClaimManager::Impl::Impl(boost::asio::io_context& io, LogClient& log,
                         PeerMesh* mesh, MetricsRegistry& metrics,
                         const RequestManagerSettings& settings)
    : io_(io),
      mesh_(mesh),
      metrics_(metrics),
      settings_(settings),
      stream_(io, log, settings),
      table_(ToTableSettings(settings)),
      answer_cache_(
          {settings.max_cached_answer_bytes, settings.max_cached_answer_age}) {}

void ClaimManager::Impl::Connect() {
  const std::weak_ptr<Impl> weak = weak_from_this();
  metrics_.AddGauge("thornplank_claim_keys",
                    "Idempotency keys that are remembered.", {}, [weak] {
                      auto self = weak.lock();
                      if (!self) return 0.0;
                      std::lock_guard<std::mutex> lock(self->mutex_);
                      return static_cast<double>(self->table_.key_count());
                    });
  if (mesh_ == nullptr) return;
  mesh_->SetMessageHandler(kClaimOutcomeCall,
                           [weak](const PeerIdentity&, const Message& message,
                                  PeerMesh::Reply reply) {
                             auto self = weak.lock();
                             if (!self || !reply) return;
                             self->HandlePeerQuery(message, std::move(reply));
                           });
}

void ClaimManager::Impl::Start() {
  const std::weak_ptr<Impl> weak = weak_from_this();
  stream_.Start(
      [weak](const ClaimRecord& record, WallTime time) {
        if (auto self = weak.lock()) self->ApplyRecord(record, time);
      },
      [weak] {
        if (auto self = weak.lock()) self->HandleGap();
      });
}

void ClaimManager::Impl::Stop() {
  stream_.Stop();
  std::lock_guard<std::mutex> lock(mutex_);
  waiters_.CancelTimers();
}

void ClaimManager::Impl::SetReachableEntries(
    const std::vector<ClaimHolder>& entries) {
  std::lock_guard<std::mutex> lock(mutex_);
  table_.SetReachableEntries(entries);
}

void ClaimManager::Impl::Acquire(const CallerRequest& request, Time deadline,
                                 AdmissionCheck check_admission,
                                 VerdictCallback on_verdict) {
  auto waiter = std::make_shared<ClaimWaiter>(io_);
  waiter->request.account = request.account;
  waiter->request.service = request.service;
  waiter->request.key = request.idempotency_key->key;
  waiter->request.key_time = request.idempotency_key->key_time;
  waiter->request.body_digest = request.idempotency_key->body_digest;
  waiter->deadline = deadline;
  waiter->check_admission = std::move(check_admission);
  waiter->on_verdict = std::move(on_verdict);
  Decide(waiter);
}

void ClaimManager::Impl::ArmDeadline(const ClaimWaiterPtr& waiter) {
  waiter->timer.expires_at(waiter->deadline);
  waiter->timer.async_wait(
      [weak = weak_from_this(), waiter](const boost::system::error_code& code) {
        if (code) return;
        if (auto self = weak.lock()) self->HandleDeadline(waiter);
      });
}

void ClaimManager::Impl::HandleDeadline(const ClaimWaiterPtr& waiter) {
  ClaimWaiters::List list;
  ClaimWaiterList joined;
  std::optional<ClaimRecord> release;
  {
    std::lock_guard<std::mutex> lock(mutex_);
    list = waiters_.Remove(waiter);
    if (list == ClaimWaiters::List::kPending) {
      joined = waiters_.TakeJoined(waiter->request.claim_id);
      // From here on the request can't be sent under this claim, even if the
      // record is still read from the log.
      release = table_.Release(waiter->request.claim_id);
    }
  }
  if (release) stream_.Append(*release);
  if (list == ClaimWaiters::List::kJoined) {
    Resolve(waiter,
            UnknownVerdict("an earlier request of this key is still running"));
  }
  if (list != ClaimWaiters::List::kPending) return;
  LogEvent(events::kClaimNotSeen,
           {{"key", waiter->request.key},
            {"claim", waiter->request.claim_id},
            {"reason", "the claim was not read back before the deadline"}});
  const ClaimVerdict verdict = NotRunVerdict(
      "the claim on the key was not seen in the log before the deadline",
      kRetryAfterClaim);
  Resolve(waiter, verdict);
  ResolveAll(joined, verdict);
}

void ClaimManager::Impl::Resolve(const ClaimWaiterPtr& waiter,
                                 ClaimVerdict verdict) {
  VerdictCallback on_verdict = std::move(waiter->on_verdict);
  waiter->on_verdict = nullptr;
  if (on_verdict) on_verdict(std::move(verdict));
}

void ClaimManager::Impl::ResolveAll(const ClaimWaiterList& list,
                                    const ClaimVerdict& verdict) {
  for (const ClaimWaiterPtr& waiter : list) Resolve(waiter, verdict);
}

void ClaimManager::Impl::AppendClaim(const ClaimRecord& record, Time deadline) {
  CountClaim("appended");
  stream_.AppendClaim(record, deadline,
                      [weak = weak_from_this(), id = record.claim_id] {
                        if (auto self = weak.lock()) self->HandleUnappended(id);
                      });
}

void ClaimManager::Impl::HandleUnappended(const std::string& claim_id) {
  ClaimWaiterPtr waiter;
  ClaimWaiterList joined;
  {
    std::lock_guard<std::mutex> lock(mutex_);
    waiter = waiters_.TakePending(claim_id);
    joined = waiters_.TakeJoined(claim_id);
    table_.ForgetUnappended(claim_id);
  }
  const ClaimVerdict verdict = NotRunVerdict(
      "the claim on the key could not be appended before the deadline",
      kRetryAfterLogDown);
  if (waiter) Resolve(waiter, verdict);
  ResolveAll(joined, verdict);
}

void ClaimManager::Impl::ApplyRecord(const ClaimRecord& record, WallTime time) {
  std::optional<ClaimEvent> event;
  {
    std::lock_guard<std::mutex> lock(mutex_);
    event = table_.Apply(record, time);
  }
  if (event) HandleClaimEvent(*event);
}

void ClaimManager::Impl::HandleClaimEvent(const ClaimEvent& event) {
  ClaimWaiterPtr waiter;
  ClaimWaiterList joined;
  const bool won = event.kind == ClaimEventKind::kWon;
  {
    std::lock_guard<std::mutex> lock(mutex_);
    waiter = waiters_.TakePending(event.claim_id);
    if (!won) joined = waiters_.TakeJoined(event.claim_id);
  }
  if (event.release) stream_.Append(*event.release);
  if (won) {
    CountClaim("won");
    LogEvent(events::kClaimWon,
             {{"claim", event.claim_id},
              {"reason", "first claim on its key in the log"}});
    if (waiter) Resolve(waiter, SendVerdict(event.claim_id));
    return;
  }
  CountClaim("lost");
  const bool another_claim_won = event.refusal == ClaimRefusal::kNone;
  LogEvent(events::kClaimLost,
           {{"claim", event.claim_id},
            {"reason", another_claim_won ? "another claim on the key came first"
                                         : Describe(event.refusal)}});
  if (waiter) joined.push_back(waiter);
  for (const ClaimWaiterPtr& each : joined) {
    if (another_claim_won) {
      Decide(each);
    } else {
      Resolve(each, RefusalVerdict(event.refusal));
    }
  }
}

void ClaimManager::Impl::HandleGap() {
  std::lock_guard<std::mutex> lock(mutex_);
  table_.HandleGap(std::chrono::system_clock::now());
}

bool ClaimManager::Impl::MaySend(const std::string& claim_id) const {
  std::lock_guard<std::mutex> lock(mutex_);
  return table_.MaySend(claim_id);
}

void ClaimManager::Impl::RecordAnswer(const std::string& claim_id,
                                      const UpstreamAnswer& answer) {
  ClaimWaiterList joined;
  std::optional<ClaimRecord> record;
  {
    std::lock_guard<std::mutex> lock(mutex_);
    record = table_.Finish(claim_id, answer.status);
    if (!record) return;
    answer_cache_.Put(
        ClaimKeyDigest(record->account, record->service, record->key), answer,
        std::chrono::steady_clock::now());
    joined = waiters_.TakeJoined(claim_id);
  }
  LogEvent(events::kClaimDone,
           {{"claim", claim_id}, {"status", answer.status}});
  ResolveAll(joined, AnsweredVerdict(answer));
  stream_.Append(*record);
}

void ClaimManager::Impl::RecordNotSent(const std::string& claim_id) {
  ClaimWaiterList joined;
  std::optional<ClaimRecord> record;
  {
    std::lock_guard<std::mutex> lock(mutex_);
    record = table_.Release(claim_id);
    if (!record) return;
    joined = waiters_.TakeJoined(claim_id);
  }
  CountClaim("released");
  LogEvent(events::kClaimReleased,
           {{"claim", claim_id}, {"reason", "provably not sent"}});
  stream_.Append(*record);
  ResolveAll(joined, NotRunVerdict("the request of this key was not sent",
                                   kRetryAfterClaim));
}

void ClaimManager::Impl::RecordUnknownOutcome(const std::string& claim_id) {
  ClaimWaiterList joined;
  {
    std::lock_guard<std::mutex> lock(mutex_);
    table_.FinishUnknown(claim_id);
    joined = waiters_.TakeJoined(claim_id);
  }
  CountClaim("unknown");
  LogEvent(events::kClaimOutcomeUnknown,
           {{"claim", claim_id},
            {"reason", "sent, but no complete answer arrived"}});
  ResolveAll(joined, RefusalVerdict(ClaimRefusal::kOutcomeUnknown));
}

void ClaimManager::Impl::CountClaim(const char* what) {
  metrics_
      .counter("thornplank_claims_total", "Claims by what became of them.",
               {{"what", what}})
      .Add();
}

ClaimManager::ClaimManager(boost::asio::io_context& io, LogClient& log,
                           PeerMesh* mesh, MetricsRegistry& metrics,
                           const RequestManagerSettings& settings)
    : impl_(std::make_shared<Impl>(io, log, mesh, metrics, settings)) {
  impl_->Connect();
}

ClaimManager::~ClaimManager() { Stop(); }

void ClaimManager::Start() { impl_->Start(); }

void ClaimManager::Stop() { impl_->Stop(); }

void ClaimManager::SetReachableEntries(
    const std::vector<ClaimHolder>& entries) {
  impl_->SetReachableEntries(entries);
}

void ClaimManager::Acquire(const CallerRequest& request, Time deadline,
                           AdmissionCheck check_admission,
                           VerdictCallback on_verdict) {
  impl_->Acquire(request, deadline, std::move(check_admission),
                 std::move(on_verdict));
}

bool ClaimManager::MaySend(const std::string& claim_id) const {
  return impl_->MaySend(claim_id);
}

void ClaimManager::RecordAnswer(const std::string& claim_id,
                                const UpstreamAnswer& answer) {
  impl_->RecordAnswer(claim_id, answer);
}

void ClaimManager::RecordNotSent(const std::string& claim_id) {
  impl_->RecordNotSent(claim_id);
}

void ClaimManager::RecordUnknownOutcome(const std::string& claim_id) {
  impl_->RecordUnknownOutcome(claim_id);
}

bool ClaimManager::caught_up() const { return impl_->caught_up(); }

int64_t ClaimManager::next_offset() const { return impl_->next_offset(); }

size_t ClaimManager::pending_records() const {
  return impl_->pending_records();
}

}  // namespace thornplank
