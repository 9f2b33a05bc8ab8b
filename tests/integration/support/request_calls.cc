// Requests, outcomes, and the comparison with the executors' records.
#include "request_calls.h"

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
      const CallerAsk ask{entry, "first-" + std::to_string(entry), ""};
      return AskEntry(cluster, ask).outcome == Outcome::kAnswered;
    });
    if (!served) return false;
  }
  return true;
}

HttpHeaders HeadersOf(const CallerAsk& ask) {
  HttpHeaders headers;
  headers.Set("Thornplank-Account", kRequestAccount);
  headers.Set("Thornplank-Deadline-Ms", std::to_string(ask.deadline.count()));
  if (ask.key.empty()) return headers;
  const int64_t now = ToUnixMilliseconds(std::chrono::system_clock::now());
  headers.Set("Idempotency-Key", ask.key);
  headers.Set("Idempotency-Key-Time",
              std::to_string(now - ask.key_age.count()));
  return headers;
}

std::string BodyOf(const CallerAsk& ask) { return BodyWithId(ask.id); }

CallerTold ReadTold(const CallerAsk& ask,
                    const std::optional<HttpResponse>& response) {
  CallerTold told;
  if (!response.has_value()) return told;
  told.status = response->status;
  told.outcome = ParseOutcome(response->headers.Value("Thornplank-Outcome"))
                     .value_or(Outcome::kNoAnswer);
  told.own_answer =
      told.outcome == Outcome::kAnswered && EchoesId(response->body, ask.id);
  told.has_retry_after = response->headers.Has("Retry-After");
  told.body = response->body;
  return told;
}

CallerTold AskEntry(TestCluster* cluster, const CallerAsk& ask) {
  return ReadTold(ask, cluster->Call(ask.entry, "POST", kRequestTarget,
                                     Json{{"id", ask.id}}, HeadersOf(ask)));
}

std::future<CallerTold> AskEntryLater(TestCluster* cluster, CallerAsk ask) {
  return std::async(std::launch::async, [cluster, ask = std::move(ask)] {
    return AskEntry(cluster, ask);
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

void CheckKeyTruthful(const std::string& key, int runs,
                      const std::vector<CallerTold>& told) {
  CAPTURE(key);
  CHECK(runs <= 1);
  const std::string* answer = nullptr;
  bool all_not_run = true;
  for (const CallerTold& each : told) {
    if (each.outcome != Outcome::kNotRun) all_not_run = false;
    if (each.outcome == Outcome::kNotRun) CHECK(each.has_retry_after);
    if (each.outcome != Outcome::kAnswered) continue;
    CHECK(each.own_answer);
    CHECK(runs == 1);
    if (answer == nullptr) answer = &each.body;
    CHECK(each.body == *answer);
  }
  if (all_not_run) CHECK(runs == 0);
}

int64_t ClaimRecords(TestCluster* cluster) {
  const Json state = cluster->ControlState(cluster->log_address());
  const Json* streams = ObjectField(state, "streams");
  if (streams == nullptr) return 0;
  const Json* claims = ObjectField(*streams, "claims");
  if (claims == nullptr) return 0;
  return IntField(*claims, "next_offset").value_or(0);
}

}  // namespace thornplank
