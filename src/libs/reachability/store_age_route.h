// HTTP route by which other entries read this entry's store age: the time since
// its most recent complete read of the store began.
#ifndef THORNPLANK_REACHABILITY_STORE_AGE_ROUTE_H_
#define THORNPLANK_REACHABILITY_STORE_AGE_ROUTE_H_

#include <functional>
#include <optional>

#include "base/time.h"
#include "net/http_message.h"

namespace thornplank {

// The response to GET is {"store_age_ms": N}, or 503 before the first complete
// read of the store.
inline constexpr char kStoreAgePath[] = "/v1/entry/store-age";
inline constexpr char kStoreAgeField[] = "store_age_ms";

// Responds with 404 to other paths and methods. `store_age` is nullopt before
// the first complete read.
HttpResponse HandleStoreAgeRequest(const HttpRequest& request,
                                   std::optional<Milliseconds> store_age);

}  // namespace thornplank

#endif  // THORNPLANK_REACHABILITY_STORE_AGE_ROUTE_H_
