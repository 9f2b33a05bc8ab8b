// How ClaimManager decides on callers' requests and on peers' queries.
#include <algorithm>
#include <optional>
#include <utility>

#include "logging/events/claims_events.h"
#include "requests/claim_holder_query.h"
#include "requests/claim_manager_impl.h"
#include "requests/claim_messages.h"

namespace thornplank {
namespace {

Digest128 KeyDigestOf(const ClaimRequest& request) {
  return ClaimKeyDigest(request.account, request.service, request.key);
}

}  // namespace

void ClaimManager::Impl::Decide(const ClaimWaiterPtr& waiter) {
  UpdateCaughtUp();
  if (!AdmitOrResolve(waiter)) return;
  const bool available = stream_.available();
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
      // A peer queries this entry about a claim that it does not know any more,
      // because the claim was released.
      Resolve(waiter, RefusalVerdict(ClaimRefusal::kBeingReleased));
      return;
    case ClaimDecisionKind::kJoin:
      LogEvent(events::kClaimJoined, {{"key", waiter->request.key},
                                      {"claim", decision.claim_id},
                                      {"reason", "running at this entry"}});
      return;
    case ClaimDecisionKind::kAskHolder:
      QueryHolder(mesh_, decision.holder, waiter->request, waiter->deadline,
                  [self = shared_from_this(), waiter](ClaimVerdict verdict) {
                    self->Resolve(waiter, std::move(verdict));
                  });
      return;
    case ClaimDecisionKind::kAnsweredHere:
      ResolveWithCachedAnswer(waiter);
      return;
    case ClaimDecisionKind::kRefuse:
      CountClaim("refused");
      LogEvent(events::kClaimRefused, {{"account", waiter->request.account},
                                       {"key", waiter->request.key},
                                       {"reason", Describe(decision.refusal)}});
      Resolve(waiter, RefusalVerdict(decision.refusal));
      return;
  }
}

void ClaimManager::Impl::UpdateCaughtUp() {
  if (!caught_up()) return;
  std::lock_guard<std::mutex> lock(mutex_);
  table_.MarkCaughtUp();
}

bool ClaimManager::Impl::AdmitOrResolve(const ClaimWaiterPtr& waiter) {
  if (!waiter->may_claim || !waiter->check_admission) return true;
  const bool available = stream_.available();
  {
    std::lock_guard<std::mutex> lock(mutex_);
    const ClaimDecision decision = table_.Evaluate(
        waiter->request, std::chrono::system_clock::now(), available);
    if (decision.kind != ClaimDecisionKind::kAppend) return true;
  }
  const std::optional<Refusal> refusal = waiter->check_admission();
  if (!refusal) return true;
  LogEvent(events::kClaimRefused, {{"account", waiter->request.account},
                                   {"key", waiter->request.key},
                                   {"reason", refusal->reason}});
  Resolve(waiter, NotRunVerdict(refusal->reason, refusal->retry_after));
  return false;
}

ClaimDecision ClaimManager::Impl::BeginLocked(const ClaimWaiterPtr& waiter,
                                              bool available) {
  ClaimRequest& request = waiter->request;
  const WallTime now = std::chrono::system_clock::now();
  if (!waiter->may_claim) {
    const ClaimDecision decision = table_.Evaluate(request, now, available);
    if (decision.kind == ClaimDecisionKind::kJoin) {
      waiters_.Join(decision.claim_id, waiter);
      ArmDeadline(waiter);
    }
    return decision;
  }
  request.claim_id = settings_.self.entry + "-" + settings_.self.incarnation +
                     "-" + std::to_string(next_claim_number_++);
  const ClaimDecision decision = table_.BeginClaim(request, now, available);
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

void ClaimManager::Impl::ResolveWithCachedAnswer(const ClaimWaiterPtr& waiter) {
  std::optional<UpstreamAnswer> answer;
  {
    std::lock_guard<std::mutex> lock(mutex_);
    answer = answer_cache_.Find(KeyDigestOf(waiter->request),
                                std::chrono::steady_clock::now());
  }
  if (!answer) {
    Resolve(waiter, RefusalVerdict(ClaimRefusal::kAnswerNotHeld));
    return;
  }
  LogEvent(events::kClaimJoined, {{"key", waiter->request.key},
                                  {"reason", "answered by this entry"}});
  Resolve(waiter, AnsweredVerdict(std::move(*answer)));
}

void ClaimManager::Impl::HandlePeerQuery(const Message& message,
                                         PeerMesh::Reply reply) {
  const auto query = DecodeClaimOutcomeQuery(message.body);
  if (!query) {
    reply(EncodeClaimVerdict(UnknownVerdict("malformed question")));
    return;
  }
  auto waiter = std::make_shared<ClaimWaiter>(io_);
  waiter->request = query->request;
  waiter->may_claim = false;
  const Milliseconds wait =
      std::clamp(query->max_wait, Milliseconds(0), settings_.max_deadline);
  waiter->deadline = std::chrono::steady_clock::now() + wait;
  waiter->on_verdict = [reply = std::move(reply)](const ClaimVerdict& verdict) {
    reply(EncodeClaimVerdict(verdict));
  };
  Decide(waiter);
}

}  // namespace thornplank
