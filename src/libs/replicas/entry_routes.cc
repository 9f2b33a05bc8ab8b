// Introductions, rosters, forwarded calls and the age of the store.
#include "replicas/entry_routes.h"

#include <string_view>
#include <utility>

#include "net/problem_response.h"
#include "reachability/store_age_route.h"
#include "replicas/entry_messages.h"

namespace thornplank {
namespace {

constexpr int kBadRequest = 400;
constexpr int kUnavailable = 503;

HttpResponse Malformed() {
  return ProblemResponse(kBadRequest,
                         {"read", "entry", "the message is malformed"});
}

HttpResponse NoReplica() {
  CallAnswer answer;
  answer.response = ProblemResponse(
      kUnavailable, {"forward", "entry", "this entry serves no calls"});
  answer.try_next = true;
  return ToResponse(std::move(answer));
}

}  // namespace

EntryRoutes::EntryRoutes(Dependencies dependencies)
    : dependencies_(std::move(dependencies)) {}

void EntryRoutes::Handle(HttpRequest request,
                         const HttpServer::Responder& respond) {
  const std::string path = request.path();
  if (path.compare(0, std::string_view(kForwardPath).size(), kForwardPath) ==
      0) {
    return HandleForwarded(std::move(request), respond);
  }
  if (path == kIntroducePath) return respond(HandleIntroduction(request));
  if (path == kRosterPath) return respond(HandleRoster(request));
  respond(HandleStoreAgeRequest(request, dependencies_.store_age()));
}

HttpResponse EntryRoutes::HandleIntroduction(const HttpRequest& request) {
  const auto introduction = ReadIntroduction(request);
  if (!introduction) return Malformed();
  const CallerService* service = dependencies_.service();
  if (service == nullptr || !service->ready()) return NoReplica();
  dependencies_.on_introduction(*introduction);
  IntroductionAnswer answer;
  const std::optional<ReplicaRoster>& roster = dependencies_.roster();
  ReplicaRoster known;
  known.epoch = introduction->roster_epoch;
  known.number = introduction->roster_number;
  if (roster && roster->IsNewerThan(known)) answer.roster = roster;
  return ToResponse(answer);
}

HttpResponse EntryRoutes::HandleRoster(const HttpRequest& request) {
  const auto roster = ReadRosterRequest(request);
  if (!roster) return Malformed();
  dependencies_.on_roster(*roster);
  return HttpResponse();
}

void EntryRoutes::HandleForwarded(HttpRequest request,
                                  const HttpServer::Responder& respond) {
  CallerService* service = dependencies_.service();
  if (service == nullptr) return respond(NoReplica());
  std::optional<ForwardedCall> call = ReadForwardedCall(std::move(request));
  if (!call) return respond(Malformed());
  service->HandleForwarded(std::move(*call), [respond](CallAnswer answer) {
    respond(ToResponse(std::move(answer)));
  });
}

}  // namespace thornplank
