// The table of claims under its mutex, and the waits of those who need it.
#include "requests/claim_flow.h"

#include <boost/asio/io_context.hpp>
#include <utility>

#include "logging/events/claims_events.h"
#include "metrics/metrics_registry.h"
#include "requests/claim_flow_impl.h"
#include "requests/claim_messages.h"

namespace thornplank {
namespace {

ClaimTableSettings ToTableSettings(const RequestManagerSettings& settings) {
  ClaimTableSettings result;
  result.self = settings.self;
  result.window = settings.claim_window;
  result.max_key_time_ahead = settings.max_key_time_ahead;
  result.max_clock_skew = settings.clock_margin;
  result.max_keys = settings.max_claim_keys;
  return result;
}

}  // namespace

ClaimFlow::Impl::Impl(boost::asio::io_context& io, LogClient& log,
                      PeerMesh* mesh, MetricsRegistry& metrics,
                      const RequestManagerSettings& settings)
    : io_(io),
      mesh_(mesh),
      metrics_(metrics),
      settings_(settings),
      stream_(io, log, settings),
      table_(ToTableSettings(settings)),
      answers_({settings.max_held_answer_bytes, settings.max_held_answer_age}) {
}

void ClaimFlow::Impl::Connect() {
  const std::weak_ptr<Impl> weak = weak_from_this();
  metrics_.AddGauge("thornplank_claim_keys",
                    "Idempotency keys that are remembered.", {}, [weak] {
                      auto self = weak.lock();
                      if (!self) return 0.0;
                      std::lock_guard<std::mutex> lock(self->mutex_);
                      return static_cast<double>(self->table_.key_count());
                    });
  if (mesh_ == nullptr) return;
  mesh_->HandleMessages(kClaimOutcomeCall,
                        [weak](const PeerIdentity&, const Message& message,
                               PeerMesh::Reply reply) {
                          auto self = weak.lock();
                          if (!self || !reply) return;
                          self->AnswerPeer(message, std::move(reply));
                        });
}

void ClaimFlow::Impl::Start() {
  const std::weak_ptr<Impl> weak = weak_from_this();
  stream_.Start(
      [weak](const ClaimRecord& record, WallTime time) {
        if (auto self = weak.lock()) self->FoldRecord(record, time);
      },
      [weak] {
        if (auto self = weak.lock()) self->FoldGap();
      });
}

void ClaimFlow::Impl::Stop() {
  stream_.Stop();
  std::lock_guard<std::mutex> lock(mutex_);
  waiters_.CancelTimers();
}

void ClaimFlow::Impl::SetReachableEntries(
    const std::vector<ClaimHolder>& entries) {
  std::lock_guard<std::mutex> lock(mutex_);
  table_.SetReachableEntries(entries);
}

void ClaimFlow::Impl::Acquire(const CallerRequest& request, Time deadline,
                              Admit admit, Decided decided) {
  auto waiter = std::make_shared<ClaimWaiter>(io_);
  waiter->request.account = request.account;
  waiter->request.service = request.service;
  waiter->request.key = request.idempotency_key->key;
  waiter->request.key_time = request.idempotency_key->key_time;
  waiter->request.body_digest = request.idempotency_key->body_digest;
  waiter->deadline = deadline;
  waiter->admit = std::move(admit);
  waiter->decided = std::move(decided);
  Decide(waiter);
}

void ClaimFlow::Impl::ArmDeadline(const ClaimWaiterPtr& waiter) {
  waiter->timer.expires_at(waiter->deadline);
  waiter->timer.async_wait(
      [weak = weak_from_this(), waiter](const boost::system::error_code& code) {
        if (code) return;
        if (auto self = weak.lock()) self->DeadlinePassed(waiter);
      });
}

void ClaimFlow::Impl::DeadlinePassed(const ClaimWaiterPtr& waiter) {
  ClaimWaiters::Place place;
  ClaimWaiterList joined;
  std::optional<ClaimRecord> release;
  {
    std::lock_guard<std::mutex> lock(mutex_);
    place = waiters_.Take(waiter);
    if (place == ClaimWaiters::Place::kPending) {
      joined = waiters_.TakeJoined(waiter->request.claim_id);
      // From here on the claim can't be sent, wherever its record is.
      release = table_.Release(waiter->request.claim_id);
    }
  }
  if (release) stream_.Append(*release);
  if (place == ClaimWaiters::Place::kJoined) {
    Resolve(waiter,
            UnknownVerdict("an earlier request of this key is still running"));
  }
  if (place != ClaimWaiters::Place::kPending) return;
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

void ClaimFlow::Impl::Resolve(const ClaimWaiterPtr& waiter,
                              ClaimVerdict verdict) {
  Decided decided = std::move(waiter->decided);
  waiter->decided = nullptr;
  if (decided) decided(std::move(verdict));
}

void ClaimFlow::Impl::ResolveAll(const ClaimWaiterList& list,
                                 const ClaimVerdict& verdict) {
  for (const ClaimWaiterPtr& waiter : list) Resolve(waiter, verdict);
}

void ClaimFlow::Impl::AppendClaim(const ClaimRecord& record, Time deadline) {
  Count("appended");
  stream_.AppendClaim(record, deadline,
                      [weak = weak_from_this(), id = record.claim_id] {
                        if (auto self = weak.lock()) self->NotAppended(id);
                      });
}

void ClaimFlow::Impl::NotAppended(const std::string& claim_id) {
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

void ClaimFlow::Impl::FoldRecord(const ClaimRecord& record, WallTime time) {
  std::optional<ClaimEvent> event;
  {
    std::lock_guard<std::mutex> lock(mutex_);
    event = table_.Apply(record, time);
  }
  if (event) HandleEvent(*event);
}

void ClaimFlow::Impl::HandleEvent(const ClaimEvent& event) {
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
    Count("won");
    LogEvent(events::kClaimWon, {{"claim", event.claim_id},
                                 {"reason", "first of its key in the log"}});
    if (waiter) Resolve(waiter, SendVerdict(event.claim_id));
    return;
  }
  Count("lost");
  const bool other_first = event.refusal == ClaimRefusal::kNone;
  LogEvent(events::kClaimLost,
           {{"claim", event.claim_id},
            {"reason", other_first ? "another claim of the key came first"
                                   : Describe(event.refusal)}});
  if (waiter) joined.push_back(waiter);
  for (const ClaimWaiterPtr& each : joined) {
    if (other_first) {
      Decide(each);
    } else {
      Resolve(each, RefusalVerdict(event.refusal));
    }
  }
}

void ClaimFlow::Impl::FoldGap() {
  std::lock_guard<std::mutex> lock(mutex_);
  table_.HandleGap(std::chrono::system_clock::now());
}

bool ClaimFlow::Impl::MaySend(const std::string& claim_id) const {
  std::lock_guard<std::mutex> lock(mutex_);
  return table_.MaySend(claim_id);
}

void ClaimFlow::Impl::Answered(const std::string& claim_id,
                               const UpstreamAnswer& answer) {
  ClaimWaiterList joined;
  std::optional<ClaimRecord> record;
  {
    std::lock_guard<std::mutex> lock(mutex_);
    record = table_.Finish(claim_id, answer.status);
    if (!record) return;
    answers_.Put(ClaimKeyDigest(record->account, record->service, record->key),
                 answer, std::chrono::steady_clock::now());
    joined = waiters_.TakeJoined(claim_id);
  }
  LogEvent(events::kClaimDone,
           {{"claim", claim_id}, {"status", answer.status}});
  ResolveAll(joined, AnsweredVerdict(answer));
  stream_.Append(*record);
}

void ClaimFlow::Impl::NotSent(const std::string& claim_id) {
  ClaimWaiterList joined;
  std::optional<ClaimRecord> record;
  {
    std::lock_guard<std::mutex> lock(mutex_);
    record = table_.Release(claim_id);
    if (!record) return;
    joined = waiters_.TakeJoined(claim_id);
  }
  Count("released");
  LogEvent(events::kClaimReleased,
           {{"claim", claim_id}, {"reason", "proved not sent"}});
  stream_.Append(*record);
  ResolveAll(joined, NotRunVerdict("the request of this key was not sent",
                                   kRetryAfterClaim));
}

void ClaimFlow::Impl::Unknown(const std::string& claim_id) {
  ClaimWaiterList joined;
  {
    std::lock_guard<std::mutex> lock(mutex_);
    table_.FinishUnknown(claim_id);
    joined = waiters_.TakeJoined(claim_id);
  }
  Count("unknown");
  LogEvent(events::kClaimOutcomeUnknown,
           {{"claim", claim_id}, {"reason", "sent, no whole answer"}});
  ResolveAll(joined, RefusalVerdict(ClaimRefusal::kOutcomeUnknown));
}

void ClaimFlow::Impl::Count(const char* what) {
  metrics_
      .counter("thornplank_claims_total", "Claims by what became of them.",
               {{"what", what}})
      .Add();
}

ClaimFlow::ClaimFlow(boost::asio::io_context& io, LogClient& log,
                     PeerMesh* mesh, MetricsRegistry& metrics,
                     const RequestManagerSettings& settings)
    : impl_(std::make_shared<Impl>(io, log, mesh, metrics, settings)) {
  impl_->Connect();
}

ClaimFlow::~ClaimFlow() { Stop(); }

void ClaimFlow::Start() { impl_->Start(); }

void ClaimFlow::Stop() { impl_->Stop(); }

void ClaimFlow::SetReachableEntries(const std::vector<ClaimHolder>& entries) {
  impl_->SetReachableEntries(entries);
}

void ClaimFlow::Acquire(const CallerRequest& request, Time deadline,
                        Admit admit, Decided decided) {
  impl_->Acquire(request, deadline, std::move(admit), std::move(decided));
}

bool ClaimFlow::MaySend(const std::string& claim_id) const {
  return impl_->MaySend(claim_id);
}

void ClaimFlow::Answered(const std::string& claim_id,
                         const UpstreamAnswer& answer) {
  impl_->Answered(claim_id, answer);
}

void ClaimFlow::NotSent(const std::string& claim_id) {
  impl_->NotSent(claim_id);
}

void ClaimFlow::Unknown(const std::string& claim_id) {
  impl_->Unknown(claim_id);
}

bool ClaimFlow::ready() const { return impl_->ready(); }

int64_t ClaimFlow::offset() const { return impl_->offset(); }

size_t ClaimFlow::pending_records() const { return impl_->pending_records(); }

}  // namespace thornplank
