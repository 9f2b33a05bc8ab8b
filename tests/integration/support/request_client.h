// Sends requests to a service like a caller and reads the answers, for tests
// that compare the answers with the executors' records.
#ifndef THORNPLANK_TESTS_INTEGRATION_SUPPORT_REQUEST_CLIENT_H_
#define THORNPLANK_TESTS_INTEGRATION_SUPPORT_REQUEST_CLIENT_H_

#include <future>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/time.h"
#include "history/history_record.h"
#include "net/http_message.h"
#include "test_cluster.h"

namespace thornplank {

inline constexpr char kRequestAccount[] = "north";
inline constexpr char kRequestTarget[] = "/v1/services/claims/requests";

struct TestRequest {
  int entry = 0;
  // Part of the body; identifies the answer that belongs to this request.
  std::string id;
  // The Idempotency-Key; empty for an idempotent request.
  std::string key;
  Milliseconds deadline{5000};
  // Age of the key when the request is sent.
  Milliseconds key_age{0};
};

struct RequestResult {
  Outcome outcome = Outcome::kNoAnswer;
  int status = 0;
  // The answer echoes the body of this request, not that of another one.
  bool own_answer = false;
  bool has_retry_after = false;
  std::string body;
};

// Declares the client account and waits until every entry answers its requests.
bool PrepareRequestAccount(TestCluster* cluster, int entries);

// The headers and the body of a request, and the result of its answer.
HttpHeaders HeadersOf(const TestRequest& request);
std::string BodyOf(const TestRequest& request);
RequestResult ParseResult(const TestRequest& request,
                          const std::optional<HttpResponse>& response);

// Sends one request and waits for the answer. The outcome is kNoAnswer after
// 10 s.
RequestResult SendToEntry(TestCluster* cluster, const TestRequest& request);
// Does the same on a separate thread.
std::future<RequestResult> SendToEntryAsync(TestCluster* cluster,
                                            TestRequest request);

// Number of runs by Idempotency-Key, for requests that have one, and by digest
// of the body.
struct RunCounts {
  std::unordered_map<std::string, int> by_key;
  std::unordered_map<std::string, int> by_body;

  int OfKey(const std::string& key) const;
  // Number of runs of requests with this id.
  int OfId(const std::string& id) const;
};
RunCounts CountRuns(TestCluster* cluster);

// Checks the results of all requests with one key against the number of its
// runs: there is at most one run, every answer is the request's own and the
// same, each "not run" has a Retry-After, and there is no run if all requests
// got "not run".
void CheckKeyOutcomes(const std::string& key, int runs,
                      const std::vector<RequestResult>& results);

// Number of records that were appended to the stream of claims.
int64_t ClaimRecordCount(TestCluster* cluster);

}  // namespace thornplank

#endif  // THORNPLANK_TESTS_INTEGRATION_SUPPORT_REQUEST_CLIENT_H_
