// Orders of WorkerFleet to workers: starts, repeated starts, stops.
#include <utility>

#include "coordination/worker_fleet.h"
#include "logging/events/coordination_events.h"

namespace thornplank {
namespace {

Time Now() { return std::chrono::steady_clock::now(); }

}  // namespace

void WorkerFleet::SendStart(const std::string& worker, const TaskRef& task,
                            int run, const StartFields& fields) {
  WorkerTracker* tracker = Find(worker);
  if (tracker == nullptr) return;
  TrackedRun* tracked = tracker->Find(task);
  if (tracked == nullptr || tracked->run != run) return;
  const Time now = Now();
  if (const char* reason = ReasonToWithhold(*tracker, *tracked)) {
    return WithholdStart(worker, task, run, reason);
  }
  StartOrder order;
  order.task = task;
  order.run = run;
  order.payload = fields.payload;
  order.checkpoint = fields.checkpoint;
  order.ticket = fields.ticket;
  order.deadline =
      tracker->IssueDeadline(settings_.bounds.start_order_term(), now);
  order.epoch = settings_.epoch;
  tracked->resumed = !fields.checkpoint.empty();
  tracker->OnStartSent(task, run, order.deadline, now);
  StartSender::Handlers handlers;
  handlers.may_resend = [this, worker, task, run] {
    return MayResendStart(worker, task, run);
  };
  handlers.done = [this, worker, task, run,
                   incarnation =
                       tracker->incarnation()](const StartResult& result) {
    OnStartResult(worker, task, run, incarnation, result);
  };
  start_sender_.Send({worker, tracker->registration().address}, order,
                     std::move(handlers));
}

void WorkerFleet::WithholdStart(const std::string& worker, const TaskRef& task,
                                int run, const std::string& reason) {
  WorkerTracker* tracker = Find(worker);
  if (tracker == nullptr) return;
  LogEvent(events::kStartWithheld, {{"task", task.ToString()},
                                    {"run", run},
                                    {"worker", worker},
                                    {"reason", reason}});
  // The order was never sent, so the run certainly does not exist.
  DeliverEnds(worker,
              tracker->OnStartAnswer(task, run, StartOutcome::kRefused, Now()));
}

// Returns null if the order may be sent. All of this may have changed between
// the decision and the order, and between copies of the order.
const char* WorkerFleet::ReasonToWithhold(const WorkerTracker& worker,
                                          const TrackedRun& run) const {
  if (run.stop_wanted) return "no longer wanted";
  if (!handlers_.may_renew()) return "this entry may no longer be the leader";
  if (worker.renewals_stopped()) return "no leases are renewed there";
  if (worker.domain_closed()) return "the failure domain takes no new work";
  if (!worker.synchronized()) return "the worker has restarted";
  const Time now = Now();
  // After an outage the record of a start may be stored before the directory is
  // read again.
  if (IsDirectoryOutdated(now) || worker.IsEntryOutdated(now)) {
    return "the worker's entry is too old";
  }
  if (worker.has_unknown_load()) return "a run of an unknown job is there";
  // room() already includes the run.
  if (worker.room().IsOverdrawn()) return "the worker's capacity has shrunk";
  return nullptr;
}

// An order is repeated only while the state of the run is unknown and the order
// may still be sent.
bool WorkerFleet::MayResendStart(const std::string& worker, const TaskRef& task,
                                 int run) {
  WorkerTracker* tracker = Find(worker);
  const TrackedRun* tracked =
      tracker == nullptr ? nullptr : tracker->Find(task);
  return tracked != nullptr && tracked->run == run &&
         tracked->stage == RunStage::kSending &&
         ReasonToWithhold(*tracker, *tracked) == nullptr;
}

void WorkerFleet::OnStartResult(const std::string& worker, const TaskRef& task,
                                int run, int incarnation,
                                const StartResult& result) {
  WorkerTracker* tracker = Find(worker);
  if (tracker == nullptr) return;
  const Time now = Now();
  const bool is_other = result.outcome == StartOutcome::kOtherIncarnation;
  // The order may have gone to an address of a previous incarnation.
  if (is_other && incarnation != tracker->incarnation()) return;
  if (result.outcome == StartOutcome::kRefused) {
    health_monitor_.OnStartRefused(worker, task, now);
  }
  if (result.last_answer == StartOutcome::kTicketRefused) {
    handlers_.on_ticket_refused(task.step, worker);
  }
  if (result.last_answer == StartOutcome::kFenced) handlers_.on_fenced();
  if (is_other) {
    // Without an unanswered copy, the next incarnation has refused the order.
    const StartOutcome outcome = result.has_unanswered_copy
                                     ? StartOutcome::kNoAnswer
                                     : StartOutcome::kRefused;
    DeliverEnds(worker, tracker->OnStartAnswer(task, run, outcome, now));
    tracker->MarkOrdersUnanswered(now);
    return OnIncarnationOver(worker, IncarnationEnd::kCrashed);
  }
  if (result.outcome == StartOutcome::kAccepted) handlers_.on_began(task);
  DeliverEnds(worker, tracker->OnStartAnswer(task, run, result.outcome, now));
  WorkerCallState& state = call_states_[worker];
  // A pending report shows at once if the worker crashes by what it started.
  if (result.outcome == StartOutcome::kAccepted) state.next_report_time = now;
  // The pending report may be answered only after half of the lease has passed,
  // so the lease is renewed by an extra one.
  const Milliseconds half_lease = settings_.bounds.lease_term() / 2;
  if (state.report_pending && state.leased_until < now + half_lease &&
      !state.extra_report_pending) {
    return RequestReport(worker, Milliseconds(0), ReportKind::kRenewal);
  }
  RequestReportIfDue(worker, now);
}

void WorkerFleet::RequestStop(const std::string& worker, const TaskRef& task,
                              int run, const std::string& reason) {
  WorkerTracker* tracker = Find(worker);
  if (tracker == nullptr) return;
  TrackedRun* tracked = tracker->Find(task);
  if (tracked == nullptr || tracked->run != run || tracked->stop_wanted) return;
  tracked->stop_wanted = true;
  LogEvent(events::kStopOrdered, {{"task", task.ToString()},
                                  {"run", run},
                                  {"worker", worker},
                                  {"percent", tracked->percent},
                                  {"reason", reason}});
  SendStops(worker, Now());
}

void WorkerFleet::SendStops(const std::string& id, Time now) {
  WorkerTracker* tracker = Find(id);
  const WorkerAddress address{id, tracker->registration().address};
  if (address.address.empty() || now < call_states_[id].next_stop_time) return;
  for (auto& [task, run] : tracker->runs()) {
    if (!run.stop_wanted || run.stop_sending) continue;
    if (run.stage == RunStage::kRecording) continue;
    const bool stopping =
        run.stop_acknowledged &&
        now - *run.stop_acknowledged < settings_.bounds.stop_resend_delay();
    if (stopping) continue;
    run.stop_sending = true;
    const StopOrder order{task, run.run, settings_.epoch};
    calls_.Stop(
        address, order, settings_.call_timeout,
        [this, alive = alive_, id, order, incarnation = tracker->incarnation()](
            CallOutcome outcome, const Error& error) {
          if (!*alive) return;
          WorkerTracker* tracker = Find(id);
          if (tracker == nullptr) return;
          if (outcome == CallOutcome::kFenced) {
            return handlers_.on_fenced();
          }
          // The call may have gone to an address of a previous
          // incarnation.
          if (outcome == CallOutcome::kOtherIncarnation &&
              incarnation == tracker->incarnation()) {
            tracker->MarkOrdersUnanswered(Now());
            return OnIncarnationOver(id, IncarnationEnd::kCrashed);
          }
          if (outcome != CallOutcome::kOk) {
            call_states_[id].next_stop_time =
                Now() + report_schedule_.retry_delay();
            LogEvent(events::kStopUndecided, error,
                     {{"task", order.task.ToString()},
                      {"run", order.run},
                      {"worker", id}});
          }
          tracker->OnStopAnswer(order.task, order.run,
                                outcome == CallOutcome::kOk, Now());
          RequestReportIfDue(id, Now());
        });
  }
}

void WorkerFleet::StopOther(const WorkerTracker& worker, const RunReport& run) {
  const WorkerAddress address{worker.id(), worker.registration().address};
  const StopOrder order{run.task, run.run, settings_.epoch};
  calls_.Stop(address, order, settings_.call_timeout,
              [this, alive = alive_](CallOutcome outcome, const Error&) {
                if (*alive && outcome == CallOutcome::kFenced) {
                  handlers_.on_fenced();
                }
              });
}

}  // namespace thornplank
