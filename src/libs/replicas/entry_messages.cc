// JSON bodies, and the headers of forwarded calls.
#include "replicas/entry_messages.h"

#include <charconv>
#include <string>
#include <string_view>
#include <utility>

#include "base/json.h"

namespace thornplank {
namespace {

// The host that the caller has addressed.
constexpr char kHostHeader[] = "Thornplank-Host";
constexpr char kTimeLeftHeader[] = "Thornplank-Time-Left-Ms";
constexpr char kMinConfigurationHeader[] = "Thornplank-Min-Configuration";
constexpr char kConfigurationHeader[] = "Thornplank-Configuration";
constexpr char kTryNextHeader[] = "Thornplank-Try-Next";
// Values of that header.
constexpr char kStoreLost[] = "store-lost";
constexpr char kOtherReason[] = "1";

constexpr char kNameField[] = "name";
constexpr char kAddressField[] = "address";
constexpr char kDomainField[] = "failure_domain";
constexpr char kRankField[] = "rank";
constexpr char kEpochField[] = "roster_epoch";
constexpr char kNumberField[] = "roster_number";
constexpr char kRosterField[] = "roster";

constexpr char kJsonType[] = "application/json";
constexpr char kContentType[] = "Content-Type";
constexpr char kHost[] = "Host";

HttpRequest JsonRequest(const char* path, const Json& body) {
  HttpRequest request;
  request.method = "POST";
  request.target = path;
  request.headers.Set(kContentType, kJsonType);
  request.body = body.dump();
  return request;
}

std::optional<int64_t> IntHeader(const HttpHeaders& headers,
                                 std::string_view name) {
  const std::string text = headers.Value(name);
  int64_t value = 0;
  const char* const end = text.data() + text.size();
  const auto [parsed, code] = std::from_chars(text.data(), end, value);
  if (code != std::errc() || parsed != end || text.empty()) return std::nullopt;
  return value;
}

// Removes what describes a single connection, and what a peer that is no entry
// must not state.
void RemoveHopHeaders(HttpHeaders* headers) {
  for (const char* name :
       {"Connection", "Keep-Alive", "Content-Length", "Transfer-Encoding",
        kHostHeader, kTimeLeftHeader, kMinConfigurationHeader,
        kConfigurationHeader, kTryNextHeader}) {
    headers->Remove(name);
  }
}

}  // namespace

HttpRequest ToRequest(const EntryIntroduction& introduction) {
  return JsonRequest(kIntroducePath,
                     {{kNameField, introduction.entry.name},
                      {kAddressField, introduction.entry.address},
                      {kDomainField, introduction.entry.failure_domain},
                      {kRankField, introduction.rank},
                      {kEpochField, introduction.roster_epoch},
                      {kNumberField, introduction.roster_number}});
}

std::optional<EntryIntroduction> ReadIntroduction(const HttpRequest& request) {
  const std::optional<Json> body = ParseJson(request.body);
  if (!body) return std::nullopt;
  const auto name = StringField(*body, kNameField);
  const auto address = StringField(*body, kAddressField);
  if (!name || name->empty() || !address) return std::nullopt;
  EntryIntroduction introduction;
  introduction.entry = {*name, *address,
                        StringField(*body, kDomainField).value_or("")};
  introduction.rank = NumberField(*body, kRankField).value_or(1);
  introduction.roster_epoch = IntField(*body, kEpochField).value_or(0);
  introduction.roster_number = IntField(*body, kNumberField).value_or(0);
  return introduction;
}

HttpResponse ToResponse(const IntroductionAnswer& answer) {
  Json body = Json::object();
  if (answer.roster) body[kRosterField] = ToJson(*answer.roster);
  HttpResponse response;
  response.headers.Set(kContentType, kJsonType);
  response.body = body.dump();
  return response;
}

std::optional<IntroductionAnswer> ReadIntroductionAnswer(
    const HttpResponse& response) {
  if (response.status != 200) return std::nullopt;
  const std::optional<Json> body = ParseJson(response.body);
  if (!body) return std::nullopt;
  IntroductionAnswer answer;
  const Json* roster = ObjectField(*body, kRosterField);
  if (roster != nullptr) answer.roster = ReadRoster(*roster);
  return answer;
}

HttpRequest ToRequest(const ReplicaRoster& roster) {
  return JsonRequest(kRosterPath, ToJson(roster));
}

std::optional<ReplicaRoster> ReadRosterRequest(const HttpRequest& request) {
  const std::optional<Json> body = ParseJson(request.body);
  return body ? ReadRoster(*body) : std::nullopt;
}

HttpRequest ToRequest(const ForwardedCall& call) {
  HttpRequest request = call.request;
  request.target = kForwardPath + call.request.target;
  const std::string host = request.headers.Value(kHost);
  request.headers.Remove(kHost);
  RemoveHopHeaders(&request.headers);
  request.headers.Set(kHostHeader, host);
  request.headers.Set(kTimeLeftHeader, std::to_string(call.time_left.count()));
  request.headers.Set(kMinConfigurationHeader,
                      std::to_string(call.min_configuration));
  return request;
}

std::optional<ForwardedCall> ReadForwardedCall(HttpRequest request) {
  const std::string_view prefix = kForwardPath;
  if (request.target.compare(0, prefix.size(), prefix) != 0) {
    return std::nullopt;
  }
  const auto time_left = IntHeader(request.headers, kTimeLeftHeader);
  if (!time_left || *time_left < 0) return std::nullopt;
  ForwardedCall call;
  call.time_left = Milliseconds(*time_left);
  call.min_configuration =
      IntHeader(request.headers, kMinConfigurationHeader).value_or(0);
  call.request = std::move(request);
  call.request.target.erase(0, prefix.size());
  const std::string host = call.request.headers.Value(kHostHeader);
  RemoveHopHeaders(&call.request.headers);
  call.request.headers.Set(kHost, host);
  return call;
}

HttpResponse ToResponse(CallAnswer answer) {
  HttpResponse response = std::move(answer.response);
  response.headers.Set(kConfigurationHeader,
                       std::to_string(answer.configuration));
  if (answer.try_next) {
    response.headers.Set(kTryNextHeader,
                         answer.store_lost ? kStoreLost : kOtherReason);
  }
  return response;
}

std::optional<CallAnswer> ReadCallAnswer(HttpResponse response) {
  const auto configuration = IntHeader(response.headers, kConfigurationHeader);
  if (!configuration) return std::nullopt;
  CallAnswer answer;
  answer.configuration = *configuration;
  answer.try_next = response.headers.Has(kTryNextHeader);
  answer.store_lost = response.headers.Value(kTryNextHeader) == kStoreLost;
  answer.response = std::move(response);
  RemoveHopHeaders(&answer.response.headers);
  return answer;
}

}  // namespace thornplank
