// GET requests to other entries.
#include "reachability/entry_client.h"

#include <utility>

#include "base/json.h"
#include "reachability/store_age_route.h"

namespace thornplank {

void EntryClient::FetchStoreAge(
    const std::string& address, Milliseconds timeout,
    std::function<void(std::optional<Milliseconds>)> done) {
  HttpRequest request;
  request.target = kStoreAgePath;
  HttpSendOptions options;
  options.timeout = timeout;
  client_.Send(address, std::move(request), options,
               [done = std::move(done)](std::optional<HttpResponse> response,
                                        const HttpFailure&) {
                 if (!response || response->status != 200) {
                   return done(std::nullopt);
                 }
                 const std::optional<Json> body = ParseJson(response->body);
                 const auto age =
                     body ? IntField(*body, kStoreAgeField) : std::nullopt;
                 if (!age || *age < 0) return done(std::nullopt);
                 done(Milliseconds(*age));
               });
}

}  // namespace thornplank
