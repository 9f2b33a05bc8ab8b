// The asking side of the call "claim-outcome".
#include "requests/claim_questions.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "logging/events/claims_events.h"
#include "protocol/peer_mesh.h"
#include "requests/claim_messages.h"

namespace thornplank {
namespace {

// What is left of the time to a deadline for the way back of a reply.
constexpr Duration kReplyMargin = Milliseconds(20);

Milliseconds WaitWithin(Duration rest) {
  const Duration wait = rest - std::min(kReplyMargin, rest / 4);
  return std::max(Milliseconds(0),
                  std::chrono::duration_cast<Milliseconds>(wait));
}

}  // namespace

void AskHolder(PeerMesh* mesh, const ClaimHolder& holder,
               const ClaimRequest& request, Time deadline,
               std::function<void(ClaimVerdict)> done) {
  if (mesh == nullptr) {
    done(UnknownVerdict("the holder of the key can't be asked"));
    return;
  }
  LogEvent(events::kClaimHolderAsked, {{"key", request.key},
                                       {"holder", holder.entry},
                                       {"reason", "claimed by that entry"}});
  const Duration rest = std::max<Duration>(
      Milliseconds(1), deadline - std::chrono::steady_clock::now());
  const ClaimQuestion question{request, WaitWithin(rest)};
  mesh->Call(holder.entry, kClaimOutcomeCall, EncodeClaimQuestion(question),
             rest,
             [done = std::move(done), entry = holder.entry](
                 std::optional<Json> body, const Error& error) {
               if (body) {
                 done(DecodeClaimVerdict(*body));
                 return;
               }
               done(UnknownVerdict(
                   "entry " + entry +
                   " holds the key and did not answer: " + error.ToString()));
             });
}

}  // namespace thornplank
