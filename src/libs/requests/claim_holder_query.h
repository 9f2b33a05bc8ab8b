// Queries the holder of a claim for the outcome of the claimed request.
#ifndef THORNPLANK_REQUESTS_CLAIM_HOLDER_QUERY_H_
#define THORNPLANK_REQUESTS_CLAIM_HOLDER_QUERY_H_

#include <functional>

#include "base/time.h"
#include "claims/claim_types.h"
#include "requests/claim_verdict.h"

namespace thornplank {

class PeerMesh;

// `done` runs once, possibly before QueryHolder returns. It gets kUnknown when
// `mesh` is null or no reply arrives before `deadline`.
void QueryHolder(PeerMesh* mesh, const ClaimHolder& holder,
                 const ClaimRequest& request, Time deadline,
                 std::function<void(ClaimVerdict)> done);

}  // namespace thornplank

#endif  // THORNPLANK_REQUESTS_CLAIM_HOLDER_QUERY_H_
