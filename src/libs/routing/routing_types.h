// Input and output values of RequestRouter.
//
// The RequestDispatcher fills in the inputs from the instance list, the
// settings tree and the answers of executors, and carries out the returned
// actions in order.
#ifndef THORNPLANK_ROUTING_ROUTING_TYPES_H_
#define THORNPLANK_ROUTING_ROUTING_TYPES_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "base/time.h"

namespace thornplank {

// What one client account may use of one service.
struct AccountLimits {
  std::string account;
  // The service to which the limits apply; "" means every service for which
  // the account has no limits of its own.
  std::string service;
  // Relative share of the slots that are not used under a guarantee; above 0.
  double weight = 1.0;
  // Slots of the service, over all entries, that the account gets whenever it
  // has requests for them.
  int guaranteed_slots = 0;
  // Requests that may wait at one entry.
  int max_queued = 1000;
  // Retries allowed, as a percentage of fresh requests.
  double retry_budget_percent = 10.0;
  // Whether the account may use slots beyond its guarantee.
  bool borrowing = true;
};

// One upstream executor, as the instance list describes it.
struct ExecutorInfo {
  std::string name;
  std::string address;  // "ip:port"
  std::string service;
  std::string failure_domain;
  // Requests that the executor runs at the same time.
  int slots = 8;
  bool leaving = false;
};

struct RequestInfo {
  // Unique among the requests that this entry handles.
  std::string id;
  std::string account;
  std::string service;
  Time deadline;
  bool idempotent = true;
};

// Demand of one account for one service at one entry.
struct AccountDemand {
  std::string service;
  std::string account;
  // Requests that wait, plus recent refusals for lack of slots.
  int queued = 0;
  int in_flight = 0;
};

// The demand that an entry reports to its peers in each heartbeat.
struct PeerDemand {
  std::string entry;
  std::vector<AccountDemand> accounts;
};

enum class AttemptOutcome {
  // A complete answer with a status below 500 arrived.
  kAnswered,
  // A complete 5xx answer arrived; the request may have run.
  kFailed,
  // The executor refused the request without running it: it is full or
  // leaving.
  kRefusedNotRun,
  // No byte of the request was written to a connection.
  kNotSent,
  // Sent in part or completely, and no complete answer arrived.
  kUnknown,
};

struct AttemptResult {
  AttemptOutcome outcome = AttemptOutcome::kUnknown;
  // From the send to the answer or the end of the attempt.
  Duration latency{};
  // Whether the answer carried the executor's notice that it is leaving.
  bool leaving = false;
};

// Why a request is not admitted, and when the caller may retry.
struct Refusal {
  std::string reason;
  Duration retry_after{};
};

// Send the request to this executor. The dispatcher answers each SendAttempt by
// exactly one RequestRouter::CompleteAttempt; at `attempt_deadline` it ends the
// attempt and reports kUnknown.
struct SendAttempt {
  std::string request_id;
  std::string executor;
  std::string address;
  int attempt = 1;  // number of the attempt, from 1
  Time attempt_deadline;
  std::string reason;  // for the decision log
};

// Final: deliver the answer of the attempt that just ended to the caller,
// whatever its status.
struct FinishAnswered {
  std::string request_id;
  std::string executor;
};

// Final: the request did not run at any executor.
struct FinishNotRun {
  std::string request_id;
  std::string reason;
  Duration retry_after{};
};

// Final: the request may have run and there is no complete answer.
struct FinishUnknown {
  std::string request_id;
  std::string reason;
};

// The attempt that just ended was answered after its request got its final
// action. The answer is to be dropped and logged.
struct DropAnswer {
  std::string request_id;
  std::string executor;
};

// The executor gets no requests until a probe succeeds.
struct ExecutorEjected {
  std::string executor;
  std::string reason;
};

// Send a health probe to the executor and call
// RequestRouter::HandleProbeResult, with kUnknown when there is no answer at
// `probe_deadline`.
struct ProbeExecutor {
  std::string executor;
  std::string address;
  Time probe_deadline;
};

// The executor gets requests again; after an ejection it starts slowly, with
// one request at a time.
struct ExecutorReinstated {
  std::string executor;
  std::string reason;
};

// The executor gets no new requests because it is leaving.
struct ExecutorLeaving {
  std::string executor;
  std::string reason;
};

using RoutingAction =
    std::variant<SendAttempt, FinishAnswered, FinishNotRun, FinishUnknown,
                 DropAnswer, ExecutorEjected, ProbeExecutor, ExecutorReinstated,
                 ExecutorLeaving>;
using RoutingActions = std::vector<RoutingAction>;

}  // namespace thornplank

#endif  // THORNPLANK_ROUTING_ROUTING_TYPES_H_
