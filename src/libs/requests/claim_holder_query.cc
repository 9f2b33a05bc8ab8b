// Client side of the peer call "claim-outcome".
#include "requests/claim_holder_query.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "logging/events/claims_events.h"
#include "protocol/peer_mesh.h"
#include "requests/claim_messages.h"

namespace thornplank {
namespace {

// The holder replies this long before the deadline, or a quarter of the
// remaining time if that is less, so that its reply arrives in time.
constexpr Duration kReplyMargin = Milliseconds(20);

Milliseconds MaxHolderWait(Duration time_left) {
  const Duration wait = time_left - std::min(kReplyMargin, time_left / 4);
  return std::max(Milliseconds(0),
                  std::chrono::duration_cast<Milliseconds>(wait));
}

}  // namespace

void QueryHolder(PeerMesh* mesh, const ClaimHolder& holder,
                 const ClaimRequest& request, Time deadline,
                 std::function<void(ClaimVerdict)> done) {
  if (mesh == nullptr) {
    done(UnknownVerdict("the holder of the key can't be asked"));
    return;
  }
  LogEvent(events::kClaimHolderAsked, {{"key", request.key},
                                       {"holder", holder.entry},
                                       {"reason", "claimed by that entry"}});
  const Duration time_left = std::max<Duration>(
      Milliseconds(1), deadline - std::chrono::steady_clock::now());
  const ClaimOutcomeQuery query{request, MaxHolderWait(time_left)};
  mesh->Call(holder.entry, kClaimOutcomeCall, EncodeClaimOutcomeQuery(query),
             time_left,
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
