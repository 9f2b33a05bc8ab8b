// The handler of the store age route.
#include "reachability/store_age_route.h"

#include "base/json.h"

namespace thornplank {

HttpResponse HandleStoreAgeRequest(const HttpRequest& request,
                                   std::optional<Milliseconds> store_age) {
  HttpResponse response;
  if (request.method != "GET" || request.path() != kStoreAgePath) {
    response.status = 404;
    return response;
  }
  if (!store_age) {
    response.status = 503;
    return response;
  }
  const Json body = {{kStoreAgeField, store_age->count()}};
  response.headers.Set("Content-Type", "application/json");
  response.body = body.dump();
  return response;
}

}  // namespace thornplank
