// Plain values that go into and come out of the request router.
//
// They hold no behaviour. The carrier fills in the inputs from the instance
// list, the settings tree and the answers of executors, and carries out the
// actions in the order in which they are returned.
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
  // Share of the slots that nobody's guarantee claims, relative to the other
  // accounts; above 0.
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

// One upstream executor as the instance list shows it.
struct ExecutorInfo {
  std::string name;
  std::string address;  // "ip:port"
  std::string service;
  std::string failure_domain;
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
  // Requests that wait, and those turned away lately for want of slots.
  int queued = 0;
  int in_flight = 0;
};

// What an entry tells its peers in each heartbeat.
struct PeerDemand {
  std::string entry;
  std::vector<AccountDemand> accounts;
};

enum class AttemptOutcome {
  // A whole answer below 500 arrived.
  kAnswered,
  // A whole answer of 5xx from the upstream arrived; the request may have run.
  kFailed,
  // The executor proved that the request did not run: it is full or leaving.
  kRefusedNotRun,
  // Not one byte of the request was handed to a connection.
  kNotSent,
  // Sent, in part or whole, and no whole answer arrived.
  kUnknown,
};

struct AttemptResult {
  AttemptOutcome outcome = AttemptOutcome::kUnknown;
  // From the send to the answer or to giving up.
  Duration latency{};
  // The executor's own sign, on any answer, that it is leaving.
  bool leaving = false;
};

// Why a request is not admitted, and when the caller may come back.
struct Refusal {
  std::string reason;
  Duration retry_after{};
};

// Send the request to this executor. The carrier answers each SendAttempt by
// exactly one RequestRouter::Complete; at `attempt_deadline` it gives up on the
// connection and completes with kUnknown.
struct SendAttempt {
  std::string request_id;
  std::string executor;
  std::string address;
  int attempt = 1;  // 1 for the first
  Time attempt_deadline;
  std::string reason;  // for the decision log
};

// Final: hand the answer that was just completed to the caller, whatever its
// status is.
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

// Final: the request may have run and there is no whole answer.
struct FinishUnknown {
  std::string request_id;
  std::string reason;
};

// The answer that was just completed comes too late: its request has already
// got its final action. To be dropped and logged.
struct DropAnswer {
  std::string request_id;
  std::string executor;
};

// The executor gets no requests until a probe succeeds.
struct ExecutorEjected {
  std::string executor;
  std::string reason;
};

// Ask the executor for its health and call RequestRouter::ProbeResult, with
// kUnknown when there is no answer at `probe_deadline`.
struct ProbeExecutor {
  std::string executor;
  std::string address;
  Time probe_deadline;
};

// The executor gets requests again, one at a time at first.
struct ExecutorReinstated {
  std::string executor;
  std::string reason;
};

// The executor gets nothing new because it is leaving.
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
