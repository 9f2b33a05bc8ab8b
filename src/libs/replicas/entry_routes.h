// Answers the calls of other entries.
#ifndef THORNPLANK_REPLICAS_ENTRY_ROUTES_H_
#define THORNPLANK_REPLICAS_ENTRY_ROUTES_H_

#include <functional>
#include <optional>

#include "base/time.h"
#include "coordination/caller_service.h"
#include "coordination/replica_roster.h"
#include "net/http_server.h"
#include "replicas/entry_calls.h"

namespace thornplank {

class EntryRoutes {
 public:
  struct Dependencies {
    // Serves forwarded calls; null unless this entry is a replica.
    std::function<CallerService*()> service;
    // An entry that a replica gets to know.
    std::function<void(const EntryIntroduction&)> on_introduction;
    std::function<void(const ReplicaRoster&)> on_roster;
    std::function<const std::optional<ReplicaRoster>&()> roster;
    // Time since the last complete read of the store began; nullopt if this
    // entry does not read it.
    std::function<std::optional<Milliseconds>()> store_age;
  };

  explicit EntryRoutes(Dependencies dependencies);

  void Handle(HttpRequest request, const HttpServer::Responder& respond);

 private:
  HttpResponse HandleIntroduction(const HttpRequest& request);
  HttpResponse HandleRoster(const HttpRequest& request);
  void HandleForwarded(HttpRequest request,
                       const HttpServer::Responder& respond);

  const Dependencies dependencies_;
};

}  // namespace thornplank

#endif  // THORNPLANK_REPLICAS_ENTRY_ROUTES_H_
