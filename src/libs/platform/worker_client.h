// Client of a worker's lease interface. See docs/PROTOCOLS.md.
#ifndef THORNPLANK_PLATFORM_WORKER_CLIENT_H_
#define THORNPLANK_PLATFORM_WORKER_CLIENT_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/json.h"
#include "base/time.h"

namespace thornplank {

class HttpClient;

// Fencing token of a leader. A worker rejects calls with a token older than the
// newest one it has seen. Tokens are ordered by epoch, then by sequence.
struct FencingToken {
  int64_t epoch = 0;
  int64_t sequence = 0;

  bool operator<(const FencingToken& other) const {
    if (epoch != other.epoch) return epoch < other.epoch;
    return sequence < other.sequence;
  }
  bool operator==(const FencingToken& other) const {
    return epoch == other.epoch && sequence == other.sequence;
  }
};

enum class LeaseState {
  kThrottled,
  kRunning,
  kCheckpointing,
  kCheckpointed,
  kFinished,
  kFailed,
  // Unknown to the worker: expired, stopped, or never granted.
  kGone,
};

struct LeaseRequest {
  std::string lease_id;
  std::string gang_id;
  std::string job_id;
  std::string account;
  int accelerators = 0;
  Duration term = std::chrono::seconds(15);
  // Passed through to the task. Includes the run time for a stand-in worker.
  Json task;
};

struct LeaseReport {
  std::string lease_id;
  std::string gang_id;
  std::string job_id;
  std::string account;
  LeaseState state = LeaseState::kGone;
  int accelerators = 0;
  // Cause of kFailed, for operators.
  std::string reason;
  // Progress of the task since the start of this lease; nullopt when the worker
  // does not report it. It is saved only in state kCheckpointed.
  std::optional<Duration> progress;
};

struct WorkerReport {
  std::string worker;
  FencingToken newest_token;
  std::vector<LeaseReport> leases;
  int accelerators = 0;
  // Usage as measured by the worker at usage_as_of; lags behind.
  int accelerators_in_use = 0;
  WallTime usage_as_of;
};

// Why a call to a worker failed.
enum class WorkerRefusal { kNone, kStaleToken, kNoRoom, kUnreachable, kOther };

class WorkerClient {
 public:
  // `refusal` is kNone if and only if the report is set.
  using Callback = std::function<void(std::optional<WorkerReport>,
                                      WorkerRefusal refusal, const Error&)>;

  explicit WorkerClient(HttpClient& http);

  // Grants all of `leases`, throttled, or none of them. Granting a lease again
  // has no effect.
  void Grant(const std::string& address, const FencingToken& token,
             const std::vector<LeaseRequest>& leases, Duration timeout,
             Callback callback);
  // Extends the named leases by `term` from now.
  void Renew(const std::string& address, const FencingToken& token,
             const std::vector<std::string>& lease_ids, Duration term,
             Duration timeout, Callback callback);
  // Sets or lifts the throttle.
  void Throttle(const std::string& address, const FencingToken& token,
                const std::vector<std::string>& lease_ids, bool throttled,
                Duration timeout, Callback callback);
  void Checkpoint(const std::string& address, const FencingToken& token,
                  const std::vector<std::string>& lease_ids, Duration timeout,
                  Callback callback);
  void Stop(const std::string& address, const FencingToken& token,
            const std::vector<std::string>& lease_ids, Duration timeout,
            Callback callback);
  // Reads the worker's report; needs no token.
  void Read(const std::string& address, Duration timeout, Callback callback);

 private:
  HttpClient& http_;
};

}  // namespace thornplank

#endif  // THORNPLANK_PLATFORM_WORKER_CLIENT_H_
