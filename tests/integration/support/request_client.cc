// Sends requests, reads outcomes and compares them with the executors' records.
#include "request_client.h"

#include <doctest/doctest.h>

#include <utility>

namespace thornplank {
namespace {

std::string BodyWithId(const std::string& id) {
  return Json{{"id", id}}.dump();
}

bool EchoesId(const std::string& body, const std::string& id) {
  const std::optional<Json> answer = ParseJson(body);
  if (!answer.has_value()) return false;
  const std::optional<Json> echo =
      ParseJson(StringField(*answer, "echo").value_or(""));
  return echo.has_value() && StringField(*echo, "id") == id;
}

int CountOf(const std::unordered_map<std::string, int>& counts,
            const std::string& name) {
  const auto it = counts.find(name);
  return it == counts.end() ? 0 : it->second;
}

}  // namespace

bool PrepareRequestAccount(TestCluster* cluster, int entries) {
  const Json values = {{"kind", "account"}, {"guaranteed_slots", 4}};
  if (!cluster->PutNode(0, kRequestAccount, values)) return false;
  for (int entry = 0; entry < entries; ++entry) {
    const bool served = TestCluster::Eventually([&] {
      const TestRequest request{entry, "first-" + std::to_string(entry), ""};
      return SendToEntry(cluster, request).outcome == Outcome::kAnswered;
    });
    if (!served) return false;
  }
  return true;
}

HttpHeaders HeadersOf(const TestRequest& request) {
  HttpHeaders headers;
  headers.Set("Thornplank-Account", kRequestAccount);
  headers.Set("Thornplank-Deadline-Ms",
              std::to_string(request.deadline.count()));
  if (request.key.empty()) return headers;
  const int64_t now = ToUnixMilliseconds(std::chrono::system_clock::now());
  headers.Set("Idempotency-Key", request.key);
  headers.Set("Idempotency-Key-Time",
              std::to_string(now - request.key_age.count()));
  return headers;
}

std::string BodyOf(const TestRequest& request) {
  return BodyWithId(request.id);
}

RequestResult ParseResult(const TestRequest& request,
                          const std::optional<HttpResponse>& response) {
  RequestResult result;
  if (!response.has_value()) return result;
  result.status = response->status;
  result.outcome = ParseOutcome(response->headers.Value("Thornplank-Outcome"))
                       .value_or(Outcome::kNoAnswer);
  result.own_answer = result.outcome == Outcome::kAnswered &&
                      EchoesId(response->body, request.id);
  result.has_retry_after = response->headers.Has("Retry-After");
  result.body = response->body;
  return result;
}

RequestResult SendToEntry(TestCluster* cluster, const TestRequest& request) {
  return ParseResult(
      request, cluster->Call(request.entry, "POST", kRequestTarget,
                             Json{{"id", request.id}}, HeadersOf(request)));
}

std::future<RequestResult> SendToEntryAsync(TestCluster* cluster,
                                            TestRequest request) {
  return std::async(std::launch::async,
                    [cluster, request = std::move(request)] {
                      return SendToEntry(cluster, request);
                    });
}

int RunCounts::OfKey(const std::string& key) const {
  return CountOf(by_key, key);
}

int RunCounts::OfId(const std::string& id) const {
  return CountOf(by_body, BodyDigest(BodyWithId(id)));
}

RunCounts CountRuns(TestCluster* cluster) {
  RunCounts counts;
  for (const Json& run : cluster->Runs()) {
    ++counts.by_body[StringField(run, "digest").value_or("")];
    const std::string key = StringField(run, "key").value_or("");
    if (!key.empty()) ++counts.by_key[key];
  }
  return counts;
}

void CheckKeyOutcomes(const std::string& key, int runs,
                      const std::vector<RequestResult>& results) {
  CAPTURE(key);
  CHECK(runs <= 1);
  const std::string* answer = nullptr;
  bool all_not_run = true;
  for (const RequestResult& result : results) {
    if (result.outcome != Outcome::kNotRun) all_not_run = false;
    if (result.outcome == Outcome::kNotRun) CHECK(result.has_retry_after);
    if (result.outcome != Outcome::kAnswered) continue;
    CHECK(result.own_answer);
    CHECK(runs == 1);
    if (answer == nullptr) answer = &result.body;
    CHECK(result.body == *answer);
  }
  if (all_not_run) CHECK(runs == 0);
}

int64_t ClaimRecordCount(TestCluster* cluster) {
  const Json state = cluster->ControlState(cluster->log_address());
  const Json* streams = ObjectField(state, "streams");
  if (streams == nullptr) return 0;
  const Json* claims = ObjectField(*streams, "claims");
  if (claims == nullptr) return 0;
  return IntField(*claims, "next_offset").value_or(0);
}

}  // namespace thornplank
