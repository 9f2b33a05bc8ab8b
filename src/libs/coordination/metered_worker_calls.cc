// Reports thornplank_worker_calls_total and thornplank_worker_call_seconds.
#include "coordination/metered_worker_calls.h"

#include <utility>

namespace thornplank {
namespace {

Time Now() { return std::chrono::steady_clock::now(); }

const char* ToLabel(StartOutcome outcome) {
  switch (outcome) {
    case StartOutcome::kAccepted:
      return "accepted";
    case StartOutcome::kRefused:
      return "refused";
    case StartOutcome::kTicketRefused:
      return "ticket_refused";
    case StartOutcome::kFenced:
      return "fenced";
    case StartOutcome::kNoAnswer:
      return "no_answer";
    case StartOutcome::kOtherIncarnation:
      return "other_life";
  }
  return "no_answer";
}

const char* ToLabel(CallOutcome outcome) {
  switch (outcome) {
    case CallOutcome::kOk:
      return "accepted";
    case CallOutcome::kFenced:
      return "fenced";
    case CallOutcome::kOtherIncarnation:
      return "other_life";
    case CallOutcome::kRefused:
      return "refused";
    case CallOutcome::kNoAnswer:
      return "no_answer";
  }
  return "no_answer";
}

}  // namespace

MeteredWorkerCalls::MeteredWorkerCalls(WorkerCalls& calls,
                                       MetricsRegistry& metrics)
    : calls_(calls),
      meter_("thornplank_worker",
             "Calls to workers; \"follow\" waits for an end.", metrics) {}

void MeteredWorkerCalls::Start(const WorkerAddress& worker,
                               const StartOrder& order, Milliseconds timeout,
                               std::function<void(const StartAnswer&)> done) {
  calls_.Start(worker, order, timeout,
               [this, start_time = Now(),
                done = std::move(done)](const StartAnswer& answer) {
                 meter_.Record("start", ToLabel(answer.outcome), start_time);
                 done(answer);
               });
}

void MeteredWorkerCalls::Stop(
    const WorkerAddress& worker, const StopOrder& order, Milliseconds timeout,
    std::function<void(CallOutcome, const Error&)> done) {
  calls_.Stop(worker, order, timeout,
              [this, start_time = Now(), done = std::move(done)](
                  CallOutcome outcome, const Error& error) {
                meter_.Record("stop", ToLabel(outcome), start_time);
                done(outcome, error);
              });
}

void MeteredWorkerCalls::SetPace(
    const WorkerAddress& worker, const PaceOrder& order, Milliseconds timeout,
    std::function<void(CallOutcome, const Error&)> done) {
  calls_.SetPace(worker, order, timeout,
                 [this, start_time = Now(), done = std::move(done)](
                     CallOutcome outcome, const Error& error) {
                   meter_.Record("pace", ToLabel(outcome), start_time);
                   done(outcome, error);
                 });
}

void MeteredWorkerCalls::Status(const WorkerAddress& worker,
                                const StatusQuery& query, Milliseconds timeout,
                                std::function<void(const StatusAnswer&)> done) {
  // The duration of a long poll says nothing about the worker, so it is counted
  // as another kind of call.
  const char* call = query.wait.count() > 0 ? "follow" : "report";
  calls_.Status(worker, query, timeout,
                [this, call, start_time = Now(),
                 done = std::move(done)](const StatusAnswer& answer) {
                  meter_.Record(call, ToLabel(answer.outcome), start_time);
                  done(answer);
                });
}

}  // namespace thornplank
