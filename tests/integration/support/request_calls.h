// Requests to a service as a caller sends them, and what the caller was told,
// for tests that compare it with the executors' own records.
#ifndef THORNPLANK_TESTS_INTEGRATION_SUPPORT_REQUEST_CALLS_H_
#define THORNPLANK_TESTS_INTEGRATION_SUPPORT_REQUEST_CALLS_H_

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

struct CallerAsk {
  int entry = 0;
  // Stands in the body, so that an answer can be told from another's.
  std::string id;
  // Empty for an idempotent request.
  std::string key;
  Milliseconds deadline{5000};
  // How long ago the caller made the key.
  Milliseconds key_age{0};
};

struct CallerTold {
  Outcome outcome = Outcome::kNoAnswer;
  int status = 0;
  // The answer echoes the request's own body.
  bool own_answer = false;
  bool has_retry_after = false;
  std::string body;
};

// Declares the client account and waits until every entry takes its requests.
bool PrepareRequestAccount(TestCluster* cluster, int entries);

// The headers of such a request, and what its answer says.
HttpHeaders HeadersOf(const CallerAsk& ask);
std::string BodyOf(const CallerAsk& ask);
CallerTold ReadTold(const CallerAsk& ask,
                    const std::optional<HttpResponse>& response);

// One request, whole; no answer within 10 s is kNoAnswer.
CallerTold AskEntry(TestCluster* cluster, const CallerAsk& ask);
// The same on a thread of its own.
std::future<CallerTold> AskEntryLater(TestCluster* cluster, CallerAsk ask);

// Runs by Idempotency-Key, of those that have one, and by digest of the body.
struct RunCounts {
  std::unordered_map<std::string, int> by_key;
  std::unordered_map<std::string, int> by_body;

  int OfKey(const std::string& key) const;
  // Runs of the requests with that id.
  int OfId(const std::string& id) const;
};
RunCounts CountRuns(TestCluster* cluster);

// Checks what the callers of one key were told against its runs: at most one
// run, answers that are their own and the same, and no false "not run".
void CheckKeyTruthful(const std::string& key, int runs,
                      const std::vector<CallerTold>& told);

// Records of the stream of claims.
int64_t ClaimRecords(TestCluster* cluster);

}  // namespace thornplank

#endif  // THORNPLANK_TESTS_INTEGRATION_SUPPORT_REQUEST_CALLS_H_
