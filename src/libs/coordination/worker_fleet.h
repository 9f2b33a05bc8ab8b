// Communication of the leader with all workers: renews their leases, requests
// reports and sends orders.
//
// What is known of a worker is in its WorkerTracker. This class decides from it
// which calls to make, and passes the results to its owner through Handlers.
// Used on the loop of the scheduler only.
#ifndef THORNPLANK_COORDINATION_WORKER_FLEET_H_
#define THORNPLANK_COORDINATION_WORKER_FLEET_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/latency_average.h"
#include "base/time.h"
#include "coordination/filler_pace_controller.h"
#include "coordination/first_look_queue.h"
#include "coordination/formats.h"
#include "coordination/health_monitor.h"
#include "coordination/refused_entries.h"
#include "coordination/renewal_stops.h"
#include "coordination/report_schedule.h"
#include "coordination/start_sender.h"
#include "coordination/worker_call_state.h"
#include "coordination/worker_calls.h"
#include "workload/gang_review.h"
#include "workload/run_review.h"
#include "workload/scheduling_features.h"
#include "workload/worker_bounds.h"
#include "workload/worker_tracker.h"

namespace thornplank {

// A longer time between two reads of a stream that is followed counts as an
// outage of the store. One read without an answer and its retry take less.
inline constexpr Milliseconds kMaxReadGap{2500};

struct WorkerFleetSettings {
  int64_t epoch = 0;
  WorkerBounds bounds;
  SchedulingFeatures features;
  Milliseconds call_timeout{900};
  ReportScheduleSettings reports;
  // An entry of the directory may be stored this long after its worker wrote
  // it: a call to the store without an answer may be carried out late.
  Milliseconds max_entry_delay{6000};
  // A worker that has been missing from the directory for longer, while the
  // store answered all the time, is gone. Records that expired during an outage
  // of the store are written again within 2 s.
  Milliseconds missing_grace{2600};
  // When this process could read the store again after the last outage; nullopt
  // if it has seen none.
  std::optional<Time> store_returned;
  // A worker that has not answered for longer gets a recorded stop of its
  // renewals. Lost answers alone are not worth a record.
  Milliseconds renewal_stop_silence{500};
  // A worker that has answered within this time counts as alive.
  Milliseconds answer_validity{250};
  // A worker that is probed must answer within this time, and within this
  // multiple of the usual latency: this process or its network may be slow.
  Milliseconds min_probe_timeout{250};
  int probe_timeout_per_latency = 6;
  FirstLookSettings first_looks;
  // A new leader places tasks on all workers that it knows after this time,
  // even if it has not asked all of them.
  Milliseconds max_survey{1000};
};

class WorkerFleet {
 public:
  struct Handlers {
    std::function<void(const std::string& worker, const RunEndReport&)> on_end;
    // A worker that was or may have been lost is seen alive, in the incarnation
    // that started at that time.
    std::function<void(const std::string& worker,
                       const std::optional<WallTime>& incarnation_start)>
        on_alive;
    // That incarnation of a worker is over and has not left as announced.
    std::function<void(const std::string& worker,
                       const std::optional<WallTime>& incarnation_start)>
        on_ended;
    // A run is known to have begun; told again with each report that lists it.
    std::function<void(const TaskRef&)> on_began;
    std::function<void(const RunReport&)> on_progress;
    // A run was seen alive after its start.
    std::function<void(const TaskRef&, int run)> on_start_survived;
    // Returns the profile of a run that this leader did not start.
    std::function<RunProfile(const TaskRef&)> profile_of;
    // Whether the configuration knows the service. Workers of other services
    // are not called.
    std::function<bool(const std::string& service)> is_known_service;
    // A worker has refused the ticket of a start order.
    std::function<void(const StepRef&, const std::string& worker)>
        on_ticket_refused;
    // A worker has answered a request for a report, or has not.
    std::function<void(const std::string& worker)> on_answer;
    std::function<void(const std::string& worker)> on_no_answer;
    // Something changed that may allow tasks to start.
    std::function<void()> on_change;
    // A worker has accepted a higher epoch.
    std::function<void()> on_fenced;
    // Whether the owner can still be the leader. Asked before each renewal and
    // start: a process that was suspended must not act on an earlier answer.
    std::function<bool()> may_renew;
  };

  WorkerFleet(WorkerCalls& calls, const Formats& formats,
              WorkerFleetSettings settings, Handlers handlers);
  ~WorkerFleet();

  // Workers that become known are asked for their first reports a limited
  // number at a time. To be called by a new leader, before the directory is
  // passed on.
  void BeginSurvey();
  // Workers that become known may have leases of previous leaders until
  // `bound`, also those on which none of their runs is known.
  void AssumeLeases(Time bound) { inherited_lease_bound_ = bound; }
  // Whether the survey goes on: what is known of the workers is so incomplete
  // that it would be rash to evict runs or to spread gangs.
  bool surveying(Time now) const;

  void OnDirectoryRecord(const KeyedRecord& record, Time now);
  // A new snapshot of the directory contains exactly these workers.
  void OnDirectorySnapshot(const std::set<std::string>& ids, Time now);
  // The directory was read up to its end. `was_lost`: earlier reads have failed
  // and none had succeeded before.
  void OnDirectoryCaughtUp(Time now, bool was_lost = false);
  // Whether the last read of the directory is too old for starts: a worker that
  // has shrunk meanwhile could not say so.
  bool IsDirectoryOutdated(Time now) const;
  // Whether workers that live may still write their entries for the first time
  // after an outage of the store. What is known of capacities is then too
  // incomplete to evict runs or to spread gangs.
  bool awaiting_entries(Time now) const;
  // Sets the failure domains that take no new work.
  void CloseDomains(const std::set<std::string>& domains);

  const std::map<std::string, WorkerTracker>& trackers() const {
    return trackers_;
  }
  // The workers with runs, and those of which something is open: all that the
  // next tick visits.
  std::vector<const WorkerTracker*> active_workers() const;

  // Number of directory records that can't be read.
  size_t refused_entries() const { return refused_.size(); }

  // Verdicts of a previous leader; to be called before the directory is passed
  // on.
  void RestoreHealth(std::vector<HealthEntry> entries, Time now) {
    health_monitor_.Restore(std::move(entries), now);
  }
  std::vector<HealthEntry> UnhealthyWorkers(Time now) const {
    return health_monitor_.UnhealthyWorkers(now);
  }

  // Announcements that a previous leader recorded; to be called before its runs
  // are inherited.
  void RestoreDepartures(const std::vector<DepartingWorker>& departures);
  // The workers with runs that have announced their departure, by id.
  std::vector<DepartingWorker> DepartingWorkers() const;

  // Whether the worker is on that rack; true if `rack` is empty.
  bool IsOnRack(const std::string& worker, const std::string& rack) const;

  // Adds a run that a previous leader recorded. Its leases have ended by
  // `lease_bound` at the latest.
  void Inherit(const std::string& worker, const TaskRef& task, int run,
               const RunProfile& profile, Time now, Time lease_bound);
  // Adds a run that is decided and not yet recorded.
  void Add(const std::string& worker, const TaskRef& task, int run,
           const RunProfile& profile, Time now);
  // Probes the worker, that is, asks for a report that does not wait, unless it
  // has answered just now.
  void ProbeIfQuiet(const std::string& worker, Time now);
  // Whether the worker has answered after it was probed at `probed`, or just
  // before that.
  bool HasAnswered(const std::string& worker, Time probed) const;
  // False for a worker that is gone, or did not answer the last call.
  bool IsReachable(const std::string& worker) const;
  Milliseconds ProbeTimeout() const;
  // The worker has not answered a probe in time.
  void OnProbeTimeout(const std::string& worker, Time now);
  // The contents of a start order that depend on the job.
  struct StartFields {
    std::string payload;
    std::string checkpoint;
    std::string ticket;
  };
  // To be called once the start is recorded. The order is withheld, and the run
  // ended, if the worker may no longer start it.
  void SendStart(const std::string& worker, const TaskRef& task, int run,
                 const StartFields& fields);
  // Ends the run, whose start is recorded and will not be sent.
  void WithholdStart(const std::string& worker, const TaskRef& task, int run,
                     const std::string& reason);
  void RequestStop(const std::string& worker, const TaskRef& task, int run,
                   const std::string& reason);
  // The ends of that incarnation of the worker are recorded up to `number`.
  void OnEndsRecorded(const std::string& worker, int incarnation,
                      int64_t number);

  // Returns the workers on which no leases are renewed from now on, if the
  // record of them must be replaced. They count as such until the record that
  // replaces this one is stored.
  std::optional<std::vector<RenewalStop>> TakeRenewalStops(Time now);
  void OnRenewalStopsStored();

  // To be called several times a second: requests reports that are due, repeats
  // stops and reviews workers and gangs.
  void Tick(Time now);

 private:
  // Parts of the average latency of which a new one is one.
  static constexpr int kLatencyParts = 8;

  // The entries that were read so far may be older than an outage of the store.
  void MarkEntriesOutdated(Time now);
  // To be called when something of the worker has changed.
  void Activate(const std::string& id) { active_.insert(id); }
  void Forget(const std::string& id);
  bool IsClosed(const WorkerTracker& tracker) const;
  // Whether a newer entry than those read so far shows that the incarnation it
  // names is alive: it was certainly written after the worker was lost, if it
  // was.
  bool ProvesLife(const WorkerRegistration& entry) const;
  // When the worker's runs were last taken for lost with it; Time{} if never or
  // long ago.
  Time LostAt(const std::string& id) const;
  // A worker is listed at the address for the first time: one that was lost
  // there is over.
  void EndLostWorkerAt(const std::string& address, const std::string& id);
  void DropOldLosses();
  // Whether the worker cannot be asked, so that its runs wait for the end of
  // their leases.
  bool WaitsForLeases(const WorkerTracker& worker, Time now) const;
  void MarkRenewalStops();
  void RenewNow(const std::string& id, Time now);
  void LogCapacity(const WorkerTracker& worker, int64_t offset) const;
  void LogUnlisted(const WorkerTracker& worker, const std::string& reason,
                   Time now) const;
  const char* ReasonToWithhold(const WorkerTracker& worker,
                               const TrackedRun& run) const;
  bool MayResendStart(const std::string& worker, const TaskRef& task, int run);
  // `incarnation`: the one that was known when the order was sent.
  void OnStartResult(const std::string& worker, const TaskRef& task, int run,
                     int incarnation, const StartResult& result);
  // The directory lists a worker that is not tracked.
  void AddListedWorker(WorkerRegistration entry, int64_t offset, Time now);
  void OnEntryRemoved(const std::string& id, Time now);
  void OnEntryUnreadable(const std::string& id, Time now);
  void RequestFirstReport(const std::string& id, Time now);
  void SendFirstLooks(Time now);
  void RequestReportIfDue(const std::string& id, Time now);
  enum class ReportKind {
    kRegular,
    // Sent beside a regular one that may wait for an end: renews the leases, or
    // shows that the worker is alive.
    kRenewal,
    kProbe,
  };

  void RequestReport(const std::string& id, Milliseconds wait, ReportKind kind);
  // Length of the leases that a report renews.
  Milliseconds LeaseTerm(const WorkerTracker& worker) const;
  // A request for a report, as it was sent.
  struct SentQuery {
    ReportKind kind = ReportKind::kRegular;
    Time sent{};
    Milliseconds wait{0};
    int64_t recorded_ends = 0;
    // Zero if it renews no leases.
    Milliseconds lease{0};
    // The incarnation that was known when it was sent.
    int incarnation = 0;
  };
  void OnStatus(const std::string& id, const StatusAnswer& answer,
                const SentQuery& query);
  void OnNoStatus(const std::string& id, const StatusAnswer& answer, Time now);
  // Runs that this leader did not expect on the worker: they count there, and
  // are stopped.
  void TakeUpUnexpected(WorkerTracker* worker,
                        const std::vector<RunReport>& runs, Time now);
  // The worker has restarted under its id; `ends` are those of the previous
  // incarnation.
  void OnRestart(const std::string& id, const std::vector<RunEndReport>& ends,
                 Time now);
  void LogBirthFault(const std::string& id, const IncarnationStart& birth);
  void SendStops(const std::string& id, Time now);
  // Stops a run whose task is tracked there under another run. Each report that
  // still lists it repeats the order.
  void StopOther(const WorkerTracker& worker, const RunReport& run);
  void DeliverEnds(const std::string& id,
                   const std::vector<RunEndReport>& ends);
  void ReviewWorker(const std::string& id, Time now);
  void ReviewGangs(Time now);
  // The incarnation has certainly ended.
  void OnIncarnationOver(const std::string& id, IncarnationEnd end);
  bool EndRunsOfLostWorker(const std::string& id, IncarnationEnd end);
  WorkerTracker* Find(const std::string& id);
  WorkerTracker NewTracker(const WorkerRegistration& entry) const;

  WorkerCalls& calls_;
  const Formats& formats_;
  const WorkerFleetSettings settings_;
  const Handlers handlers_;
  std::map<std::string, WorkerTracker> trackers_;
  std::map<std::string, WorkerCallState> call_states_;
  // Invariant: contains every worker that NeedsVisit.
  std::set<std::string> active_;
  // Incarnations that have certainly ended, by id of the worker, with the start
  // time that they reported. The directory may still list them for a while.
  std::map<std::string, std::optional<WallTime>> ended_incarnations_;
  FirstLookQueue first_looks_;
  bool survey_begun_ = false;
  // As a previous leader recorded them, by id of the worker.
  std::map<std::string, DepartingWorker> recorded_departures_;
  // When all leases of previous leaders are over.
  Time inherited_lease_bound_{};
  // When the directory was known completely.
  std::optional<Time> survey_released_at_;
  RefusedEntries refused_;
  RenewalStops renewal_stops_;
  // Workers that could not be asked at some time since the last look.
  // Invariant: contains every worker that WaitsForLeases.
  std::set<std::string> unheard_;
  // Reasons for unreadable start times that were already logged.
  std::set<std::string> logged_faults_;
  std::set<std::string> closed_domains_;
  // Of reports that do not wait.
  LatencyAverage usual_latency_{kLatencyParts};
  // Since when the directory has been read without a gap.
  Time directory_read_since_{};
  Time last_directory_read_{};
  Time first_directory_read_{};
  // The last worker that was taken for lost at each address.
  struct LostWorker {
    std::string id;
    std::optional<WallTime> incarnation_start;
  };
  std::map<std::string, LostWorker> lost_at_address_;
  // As LostAt. Kept for workers that are no longer known, too.
  std::map<std::string, Time> lost_at_;
  // When the directory was first read after the last outage of the store;
  // nullopt if there was none.
  std::optional<Time> outage_over_;
  ReportSchedule report_schedule_;
  HealthMonitor health_monitor_;
  RunReview run_review_;
  GangReview gang_review_;
  StartSender start_sender_;
  FillerPaceController pace_controller_;
  // False once this object is destroyed; pending callbacks then do nothing.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace thornplank

#endif  // THORNPLANK_COORDINATION_WORKER_FLEET_H_
