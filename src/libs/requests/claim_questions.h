// Asks the holder of a claim for the outcome of its request.
#ifndef THORNPLANK_REQUESTS_CLAIM_QUESTIONS_H_
#define THORNPLANK_REQUESTS_CLAIM_QUESTIONS_H_

#include <functional>

#include "base/time.h"
#include "claims/claim_types.h"
#include "requests/claim_verdict.h"

namespace thornplank {

class PeerMesh;

// `done` runs once, with kUnknown when there is no mesh (null) or no reply
// before `deadline`; perhaps before AskHolder returns.
void AskHolder(PeerMesh* mesh, const ClaimHolder& holder,
               const ClaimRequest& request, Time deadline,
               std::function<void(ClaimVerdict)> done);

}  // namespace thornplank

#endif  // THORNPLANK_REQUESTS_CLAIM_QUESTIONS_H_
