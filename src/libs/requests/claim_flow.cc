// The table of claims under its mutex, and the waits of those who need it.
#include "requests/claim_flow.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <mutex>
#include <utility>

#include "claims/answer_cache.h"
#include "claims/claim_table.h"
#include "logging/events/claims_events.h"
#include "metrics/metrics_registry.h"
#include "platform/log_client.h"
#include "platform/stream_follower.h"
#include "platform/stream_writer.h"
#include "protocol/peer_mesh.h"
#include "requests/claim_messages.h"
#include "requests/claim_waiters.h"

namespace thornplank {
namespace {

// What is left of the time to a deadline for the way back of an answer.
constexpr Duration kReplyMargin = Milliseconds(20);

ClaimTableSettings ToTableSettings(const RequestManagerSettings& settings) {
  ClaimTableSettings result;
  result.self = settings.self;
  result.window = settings.claim_window;
  result.max_key_time_ahead = settings.max_key_time_ahead;
  result.clock_margin = settings.clock_margin;
  result.max_keys = settings.max_claim_keys;
  return result;
}

Digest128 KeyOf(const ClaimRequest& request) {
  return ClaimKeyDigest(request.account, request.service, request.key);
}

Milliseconds RestForReply(Time deadline) {
  const Duration rest = deadline - std::chrono::steady_clock::now();
  const Duration wait = rest - std::min(kReplyMargin, rest / 4);
  return std::max(Milliseconds(0),
                  std::chrono::duration_cast<Milliseconds>(wait));
}

}  // namespace

class ClaimFlow::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(boost::asio::io_context& io, LogClient& log, PeerMesh* mesh,
       MetricsRegistry& metrics, const RequestManagerSettings& settings)
      : io_(io),
        log_(log),
        mesh_(mesh),
        metrics_(metrics),
        settings_(settings),
        writer_(io, log, kClaimStream, settings.claim_writer),
        table_(ToTableSettings(settings)),
        answers_(
            {settings.max_held_answer_bytes, settings.max_held_answer_age}) {}

  void Connect();
  void Start();
  void Stop();
  void SetLiveEntries(const std::vector<ClaimHolder>& entries);
  void Acquire(const CallerRequest& request, Time deadline, Admit admit,
               Decided decided);
  bool MaySend(const std::string& claim_id) const;
  void Answered(const std::string& claim_id, const UpstreamAnswer& answer);
  void NotSent(const std::string& claim_id);
  void Unknown(const std::string& claim_id);
  bool ready() const { return follower_ && follower_->caught_up(); }
  int64_t offset() const { return follower_ ? follower_->next_offset() : 0; }
  size_t pending_records() const { return writer_.pending(); }

 private:
  void Decide(const ClaimWaiterPtr& waiter);
  void NoteCaughtUp();
  // Whether the key would have to be claimed and may be, as far as the router
  // is concerned; resolves `waiter` and returns false when not.
  bool PassAdmission(const ClaimWaiterPtr& waiter);
  void Resolve(const ClaimWaiterPtr& waiter, ClaimVerdict verdict);
  void ResolveAll(const ClaimWaiterList& list, const ClaimVerdict& verdict);
  void AskHolder(const ClaimWaiterPtr& waiter, const ClaimHolder& holder);
  void AnswerPeer(const Message& message, PeerMesh::Reply reply);
  void GiveHeldAnswer(const ClaimWaiterPtr& waiter);

  void AppendClaim(const ClaimRecord& record, Time deadline);
  void Append(const ClaimRecord& record);
  void ClaimAppended(const std::string& claim_id, AppendState state);
  void FoldRecord(const LogRecord& record);
  void HandleEvent(const ClaimEvent& event);
  void FoldGap(int64_t from, int64_t first_kept);
  void DeadlinePassed(const ClaimWaiterPtr& waiter);
  bool log_available() const;
  void Count(const char* what);

  // The following are called with the mutex held.
  ClaimDecision BeginLocked(const ClaimWaiterPtr& waiter, bool available);
  void ArmDeadline(const ClaimWaiterPtr& waiter);

  boost::asio::io_context& io_;
  LogClient& log_;
  PeerMesh* const mesh_;
  MetricsRegistry& metrics_;
  const RequestManagerSettings settings_;
  StreamWriter writer_;
  // Set once by Start, before any request comes.
  std::unique_ptr<StreamFollower> follower_;

  // Guards everything below. Never held while a callback runs or a record is
  // handed to the writer.
  mutable std::mutex mutex_;
  ClaimTable table_;
  AnswerCache answers_;
  uint64_t next_claim_ = 1;
  ClaimWaiters waiters_;
};

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
                          if (self && reply)
                            self->AnswerPeer(message, std::move(reply));
                        });
}

void ClaimFlow::Impl::Start() {
  const std::weak_ptr<Impl> weak = weak_from_this();
  follower_ = std::make_unique<StreamFollower>(
      io_, log_, kClaimStream, settings_.claim_follower,
      [weak](const LogRecord& record) {
        if (auto self = weak.lock()) self->FoldRecord(record);
      },
      [weak](int64_t from, int64_t first_kept) {
        if (auto self = weak.lock()) self->FoldGap(from, first_kept);
      });
  follower_->Start(0);
}

void ClaimFlow::Impl::Stop() {
  if (follower_) follower_->Stop();
  std::lock_guard<std::mutex> lock(mutex_);
  waiters_.CancelTimers();
}

void ClaimFlow::Impl::SetLiveEntries(const std::vector<ClaimHolder>& entries) {
  std::lock_guard<std::mutex> lock(mutex_);
  table_.SetLiveEntries(entries);
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

void ClaimFlow::Impl::Decide(const ClaimWaiterPtr& waiter) {
  NoteCaughtUp();
  if (!PassAdmission(waiter)) return;
  const bool available = log_available();
  ClaimDecision decision;
  {
    std::lock_guard<std::mutex> lock(mutex_);
    decision = BeginLocked(waiter, available);
  }
  switch (decision.kind) {
    case ClaimDecisionKind::kAppend:
      if (waiter->may_claim) {
        AppendClaim(decision.record, waiter->deadline);
        return;
      }
      // The holder does not know the claim: it was released.
      Resolve(waiter, RefusalVerdict(ClaimRefusal::kBeingReleased));
      return;
    case ClaimDecisionKind::kJoin:
      LogEvent(events::kClaimJoined, {{"key", waiter->request.key},
                                      {"claim", decision.claim_id},
                                      {"reason", "running at this entry"}});
      return;
    case ClaimDecisionKind::kAskHolder:
      AskHolder(waiter, decision.holder);
      return;
    case ClaimDecisionKind::kAnsweredHere:
      GiveHeldAnswer(waiter);
      return;
    case ClaimDecisionKind::kRefuse:
      Count("refused");
      LogEvent(events::kClaimRefused, {{"account", waiter->request.account},
                                       {"key", waiter->request.key},
                                       {"reason", Describe(decision.refusal)}});
      Resolve(waiter, RefusalVerdict(decision.refusal));
      return;
  }
}

void ClaimFlow::Impl::NoteCaughtUp() {
  if (!ready()) return;
  std::lock_guard<std::mutex> lock(mutex_);
  table_.NoteCaughtUp();
}

bool ClaimFlow::Impl::PassAdmission(const ClaimWaiterPtr& waiter) {
  if (!waiter->may_claim || !waiter->admit) return true;
  const bool available = log_available();
  {
    std::lock_guard<std::mutex> lock(mutex_);
    const ClaimDecision decision = table_.Look(
        waiter->request, std::chrono::system_clock::now(), available);
    if (decision.kind != ClaimDecisionKind::kAppend) return true;
  }
  const std::optional<Refusal> refusal = waiter->admit();
  if (!refusal) return true;
  LogEvent(events::kClaimRefused, {{"account", waiter->request.account},
                                   {"key", waiter->request.key},
                                   {"reason", refusal->reason}});
  Resolve(waiter, NotRunVerdict(refusal->reason, refusal->retry_after));
  return false;
}

ClaimDecision ClaimFlow::Impl::BeginLocked(const ClaimWaiterPtr& waiter,
                                           bool available) {
  ClaimRequest& request = waiter->request;
  const WallTime now = std::chrono::system_clock::now();
  if (!waiter->may_claim) {
    const ClaimDecision decision = table_.Look(request, now, available);
    if (decision.kind == ClaimDecisionKind::kJoin) {
      waiters_.Join(decision.claim_id, waiter);
      ArmDeadline(waiter);
    }
    return decision;
  }
  request.claim_id = settings_.self.entry + "-" + settings_.self.incarnation +
                     "-" + std::to_string(next_claim_++);
  const ClaimDecision decision = table_.Begin(request, now, available);
  if (decision.kind == ClaimDecisionKind::kAppend) {
    waiters_.AddPending(waiter);
    ArmDeadline(waiter);
  }
  if (decision.kind == ClaimDecisionKind::kJoin) {
    waiters_.Join(decision.claim_id, waiter);
    ArmDeadline(waiter);
  }
  return decision;
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
  if (release) Append(*release);
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

void ClaimFlow::Impl::GiveHeldAnswer(const ClaimWaiterPtr& waiter) {
  std::optional<UpstreamAnswer> answer;
  {
    std::lock_guard<std::mutex> lock(mutex_);
    answer =
        answers_.Find(KeyOf(waiter->request), std::chrono::steady_clock::now());
  }
  if (!answer) {
    Resolve(waiter, RefusalVerdict(ClaimRefusal::kAnswerNotHeld));
    return;
  }
  LogEvent(events::kClaimJoined, {{"key", waiter->request.key},
                                  {"reason", "answered by this entry"}});
  Resolve(waiter, AnsweredVerdict(std::move(*answer)));
}

void ClaimFlow::Impl::AskHolder(const ClaimWaiterPtr& waiter,
                                const ClaimHolder& holder) {
  if (mesh_ == nullptr) {
    Resolve(waiter, UnknownVerdict("the holder of the key can't be asked"));
    return;
  }
  LogEvent(events::kClaimHolderAsked, {{"key", waiter->request.key},
                                       {"holder", holder.entry},
                                       {"reason", "claimed by that entry"}});
  ClaimQuestion question{waiter->request, RestForReply(waiter->deadline)};
  const Duration timeout = std::max<Duration>(
      Milliseconds(1), waiter->deadline - std::chrono::steady_clock::now());
  mesh_->Call(
      holder.entry, kClaimOutcomeCall, EncodeClaimQuestion(question), timeout,
      [self = shared_from_this(), waiter, entry = holder.entry](
          std::optional<Json> body, const Error& error) {
        if (body) {
          self->Resolve(waiter, DecodeClaimVerdict(*body));
          return;
        }
        self->Resolve(waiter, UnknownVerdict("entry " + entry +
                                             " holds the key and did not "
                                             "answer: " +
                                             error.ToString()));
      });
}

void ClaimFlow::Impl::AnswerPeer(const Message& message,
                                 PeerMesh::Reply reply) {
  const auto question = DecodeClaimQuestion(message.body);
  if (!question) {
    reply(EncodeClaimVerdict(UnknownVerdict("malformed question")));
    return;
  }
  auto waiter = std::make_shared<ClaimWaiter>(io_);
  waiter->request = question->request;
  waiter->may_claim = false;
  const Milliseconds wait =
      std::clamp(question->wait, Milliseconds(0), settings_.max_deadline);
  waiter->deadline = std::chrono::steady_clock::now() + wait;
  waiter->decided = [reply = std::move(reply)](const ClaimVerdict& verdict) {
    reply(EncodeClaimVerdict(verdict));
  };
  Decide(waiter);
}

void ClaimFlow::Impl::AppendClaim(const ClaimRecord& record, Time deadline) {
  Count("appended");
  writer_.Append(LogRecordId(record), ToJson(record), deadline,
                 [weak = weak_from_this(), id = record.claim_id](
                     AppendState state, int64_t, const Error&) {
                   if (auto self = weak.lock()) self->ClaimAppended(id, state);
                 });
}

void ClaimFlow::Impl::ClaimAppended(const std::string& claim_id,
                                    AppendState state) {
  // Whether a sent record stands in the log is learnt by reading it back.
  if (state != AppendState::kNotAppended) return;
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

void ClaimFlow::Impl::Append(const ClaimRecord& record) {
  const Time deadline =
      std::chrono::steady_clock::now() + settings_.claim_window;
  writer_.Append(LogRecordId(record), ToJson(record), deadline,
                 [](AppendState, int64_t, const Error&) {});
}

void ClaimFlow::Impl::FoldRecord(const LogRecord& record) {
  Error error;
  const auto claim = ParseClaimRecord(record.data, &error);
  if (!claim) {
    LogEvent(events::kClaimRecordMalformed, error, {{"offset", record.offset}});
    return;
  }
  std::optional<ClaimEvent> event;
  {
    std::lock_guard<std::mutex> lock(mutex_);
    event = table_.Fold(*claim, record.time);
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
  if (event.release) Append(*event.release);
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

void ClaimFlow::Impl::FoldGap(int64_t from, int64_t first_kept) {
  LogEvent(events::kClaimStreamGap,
           {{"from", from},
            {"first_kept", first_kept},
            {"reason", "records were lost to retention before being read"}});
  std::lock_guard<std::mutex> lock(mutex_);
  table_.NoteGap(std::chrono::system_clock::now());
}

// A failed append alone would stop all appends for ever, so one claim at a
// time goes through as the trial whether the log is back.
bool ClaimFlow::Impl::log_available() const {
  if (!follower_) return false;
  const std::optional<Time> success = follower_->last_success();
  if (!success) return false;
  const Time now = std::chrono::steady_clock::now();
  if (*success + settings_.claim_log_silence < now) return false;
  return writer_.healthy() || writer_.pending() == 0;
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
  Append(*record);
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
  Append(*record);
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

void ClaimFlow::SetLiveEntries(const std::vector<ClaimHolder>& entries) {
  impl_->SetLiveEntries(entries);
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
