// Answers the questions of other entries.
#ifndef THORNPLANK_REACHABILITY_STORE_AGE_ROUTE_H_
#define THORNPLANK_REACHABILITY_STORE_AGE_ROUTE_H_

#include <functional>
#include <optional>

#include "base/time.h"
#include "net/http_message.h"

namespace thornplank {

// GET, answered by {"store_age_ms": N}: the last whole read of the store began
// so long ago. 503 before the first.
inline constexpr char kStoreAgePath[] = "/v1/entry/store-age";
inline constexpr char kStoreAgeField[] = "store_age_ms";

HttpResponse HandleStoreAgeRequest(const HttpRequest& request,
                                   std::optional<Milliseconds> store_age);

}  // namespace thornplank

#endif  // THORNPLANK_REACHABILITY_STORE_AGE_ROUTE_H_
