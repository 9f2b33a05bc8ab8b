// Calls the workers: keeps their leases, hears their reports, sends orders.
//
// Beliefs are in the WorkerTracker of each worker; this object turns them into
// calls and the answers into events for its owner.
#ifndef THORNPLANK_COORDINATION_WORKER_FLEET_H_
#define THORNPLANK_COORDINATION_WORKER_FLEET_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "base/time.h"
#include "coordination/filler_pace_controller.h"
#include "coordination/formats.h"
#include "coordination/refused_entries.h"
#include "coordination/start_sender.h"
#include "coordination/worker_calls.h"
#include "workload/departure_watch.h"
#include "workload/gang_review.h"
#include "workload/run_review.h"
#include "workload/worker_bounds.h"
#include "workload/worker_tracker.h"

namespace thornplank {

struct WorkerFleetSettings {
  int64_t epoch = 0;
  WorkerBounds bounds;
  Milliseconds call_timeout{900};
  // How long a report can_wait for an end; workers allow 2 s at most.
  Milliseconds report_wait{1900};
  // The same where tasks that fill may disturb tasks that serve: their tails
  // are figures of the last half second.
  Milliseconds paced_report_wait{500};
  // Between reports that don't wait.
  Milliseconds report_retry_delay{250};
  // A worker that is not listed any more, while the store answered all along,
  // is gone: entries that lapsed with the store are back within 2 s.
  Milliseconds missing_grace{2600};
  // The first report after a start: early enough to move an urgent task off a
  // slow worker in time, late enough for a few percent of progress.
  Milliseconds first_report_wait{700};
};

class WorkerFleet {
 public:
  struct Handlers {
    std::function<void(const std::string& worker, const RunEndReport&)> on_end;
    std::function<void(const RunReport&)> on_progress;
    // Resources that a run takes which nobody here decided on.
    std::function<RunProfile(const TaskRef&)> profile_of;
    // Whether the configuration knows the service. Entries of others are not
    // even looked at.
    std::function<bool(const std::string& service)> is_known_service;
    // A worker did not take the ticket of a start.
    std::function<void(const StepRef&, const std::string& worker)>
        on_ticket_refused;
    // Something changed that may let tasks start.
    std::function<void()> on_change;
    // A worker obeys a higher epoch.
    std::function<void()> on_fenced;
  };

  WorkerFleet(WorkerCalls& calls, const Formats& formats,
              WorkerFleetSettings settings, Handlers handlers);
  ~WorkerFleet();

  void OnDirectoryRecord(const KeyedRecord& record, Time now);
  // The directory was read anew and lists just these.
  void OnDirectorySnapshot(const std::set<std::string>& ids, Time now);
  // The directory was read up to its end.
  void OnDirectoryCaughtUp(Time now);
  // Failure domains that take no new work from now on.
  void CloseDomains(const std::set<std::string>& domains);

  const std::map<std::string, WorkerTracker>& trackers() const {
    return trackers_;
  }

  // Entries of the directory that name no worker to use.
  size_t refused_entries() const { return refused_.size(); }

  // Whether the worker stands on that rack; true for no rack.
  bool IsOnRack(const std::string& worker, const std::string& rack) const;

  // A run that a predecessor recorded.
  void Inherit(const std::string& worker, const TaskRef& task, int run,
               const RunProfile& profile, Time now, Time lease_bound);
  // A run that is decided and not yet recorded.
  void Add(const std::string& worker, const TaskRef& task, int run,
           const RunProfile& profile, Time now);
  // What the order for a recorded run carries.
  struct StartFields {
    std::string payload;
    std::string checkpoint;
    std::string ticket;
  };
  void SendStart(const std::string& worker, const TaskRef& task, int run,
                 const StartFields& fields);
  void RequestStop(const std::string& worker, const TaskRef& task, int run,
                   const std::string& reason);
  // Ends of that life of the worker up to `number` are recorded.
  void OnEndsRecorded(const std::string& worker, int life, int64_t number);

  // Renews, retries and judges; several times a second. Leases are renewed
  // only while the owner may still lead.
  void Tick(Time now, bool may_renew);

 private:
  struct CallState {
    bool report_pending = false;
    bool extra_report_pending = false;
    // It is silent and has nothing to tell, but its entry was written anew.
    bool check_again = false;
    Time next_report_time{};
    // The worker's lease surely lasts until then.
    Time leased_until{};
    int64_t acknowledged_ends = 0;
    // A stop that was not confirmed is repeated then.
    Time next_stop_time{};
    std::optional<Time> missing_since;
    DepartureWatch departure;
  };

  bool IsClosed(const WorkerTracker& tracker) const;
  void LogCapacity(const WorkerTracker& worker, int64_t offset) const;
  const char* ReasonToWithhold(const WorkerTracker& worker,
                               const TrackedRun& run) const;
  bool MayResendStart(const std::string& worker, const TaskRef& task, int run);
  void OnStartResult(const std::string& worker, const TaskRef& task, int run,
                     const StartResult& result);
  void OnEntryRemoved(const std::string& id, Time now);
  void OnEntryUnreadable(const std::string& id, Time now);
  void RequestReportIfDue(const std::string& id, Time now);
  void RequestReport(const std::string& id, Milliseconds wait, bool extra);
  void OnStatus(const std::string& id, const StatusAnswer& answer, Time sent,
                int64_t recorded, bool renewed, bool extra);
  // The worker has restarted under its id; `ends` are those of the life before.
  void OnRestart(const std::string& id, const std::vector<RunEndReport>& ends,
                 Time now);
  void LogBirthFault(const std::string& id, const BirthMark& birth);
  // What a report may tell the worker to forget.
  int64_t EndsToAcknowledge(const WorkerTracker& tracker,
                            const CallState& state) const;
  void SendStops(const std::string& id, Time now);
  void DeliverEnds(const std::string& id,
                   const std::vector<RunEndReport>& ends);
  void ReviewWorker(const std::string& id, Time now);
  void ReviewGangs(Time now);
  // The life is proved to be over for good.
  void OnIncarnationOver(const std::string& id, LifeEnd end);
  bool EndRunsOfLostWorker(const std::string& id, LifeEnd end);
  WorkerTracker* Find(const std::string& id);

  WorkerCalls& calls_;
  const Formats& formats_;
  const WorkerFleetSettings settings_;
  const Handlers handlers_;
  std::map<std::string, WorkerTracker> trackers_;
  std::map<std::string, CallState> call_states_;
  // Lives that are proved to be over, by the worker's id, with what they said
  // of their birth; the directory may list them for a while.
  std::map<std::string, std::optional<WallTime>> ended_incarnations_;
  RefusedEntries refused_;
  // Why births cannot be read, as far as it was told.
  std::set<std::string> logged_birth_faults_;
  std::set<std::string> closed_domains_;
  bool may_renew_ = true;
  // Since when the directory has answered without a gap.
  Time directory_read_since_{};
  Time last_directory_read_{};
  RunReview run_review_;
  GangReview gang_review_;
  StartSender start_sender_;
  FillerPaceController pace_controller_;
  // Callbacks of calls that outlive this object do nothing.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace thornplank

#endif  // THORNPLANK_COORDINATION_WORKER_FLEET_H_
