// Tracks one worker across its incarnations: which runs may be on it, when its
// leases end at the latest, and whether it can be trusted.
//
// An order without an answer may be carried out seconds later. A run is
// therefore settled only by evidence: its end or absence in a report, an
// acknowledged stop, the end of the worker's incarnation, or the expiry of the
// order's own deadline. Until then it keeps its resources, and no second run of
// its task may exist. Absence counts only in a report that lists all ends: a
// worker lists a limited number at a time, and the next ones once those are
// recorded. Not thread-safe.
#ifndef THORNPLANK_WORKLOAD_WORKER_TRACKER_H_
#define THORNPLANK_WORKLOAD_WORKER_TRACKER_H_

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "workload/departure_record.h"
#include "workload/pace_control.h"
#include "workload/worker_health.h"
#include "workload/worker_incarnation.h"
#include "workload/worker_report.h"

namespace thornplank {

enum class RunStage {
  // Decided; its record is on the way to the store.
  kRecording,
  // The start order was sent.
  kSending,
  // The start order was not answered.
  kUnknown,
  // Recorded by the previous leader; no report has confirmed it to this
  // process.
  kInherited,
  kRunning,
};

std::string_view ToText(RunStage stage);

// A worker at or below this share of its steady speed is temporarily slowed:
// slowed ones run at a quarter or less.
inline constexpr double kSlowedSpeed = 0.5;
// Hardware below this share of the usual speed takes so long that urgent steps
// mostly miss their objective on it (1.5 times the usual time).
inline constexpr double kSlowHardware = 0.6;

// The resources of a run, and what its loss would cost.
struct RunProfile {
  Resources need;
  // False for a run whose job is unknown here; `need` is zero then.
  bool need_known = true;
  int priority = 0;
  bool checkpointable = false;
  bool gang = false;
  bool long_running = false;
  // No cores are reserved for it; it is slowed down where it disturbs serving
  // tasks.
  bool is_filler = false;
  // The caller's estimate of its run time; zero if there is none.
  Milliseconds estimate{0};
  // Target for the tail latency of a serving task; zero for any other.
  Milliseconds tail_latency_target{0};
  std::string account;
  // It takes several times as long on other racks; empty if there is no such
  // rack.
  std::string data_rack;
  // Workers were lost while they ran its task.
  bool on_probation = false;
  // When its job was accepted.
  WallTime job_accepted{};

  RunKind kind() const;
};

struct TrackedRun {
  TaskRef task;
  int run = 0;
  RunProfile profile;
  RunStage stage = RunStage::kRecording;
  // When the stage began, by this process's clock.
  Time stage_since{};
  // When this process decided on it; Time{} if a previous leader did.
  Time placed{};
  // When its start order was first sent.
  Time order_sent{};
  // When it was first known to run.
  Time began{};
  int percent = 0;
  // As in RunReport.
  int64_t load = 0;
  // The pace in percent of full speed that the worker has confirmed; nullopt if
  // it is unknown.
  std::optional<int> pace = kFullPace;
  bool pace_sending = false;
  // The last report neither listed it nor all ends: it may have ended, and what
  // earlier reports showed of it may be outdated.
  bool may_have_ended = false;
  // When its percentage last changed, and when a report last included it.
  Time last_progress{};
  Time last_report{};
  // The same on the worker's clock: a report may be long on the way.
  Milliseconds progress_clock{0};
  Milliseconds report_clock{0};
  // Progress is measured from here: its start, or the first report of a run
  // that resumed or was inherited.
  int baseline_percent = 0;
  std::optional<Time> baseline;
  // Starts from a checkpoint, so its first percentage is not its own work.
  bool resumed = false;
  std::string checkpoint;
  // When a report first included that checkpoint, if this run made it.
  Time checkpoint_seen_at{};
  // Deadline on the worker's clock: a start order that arrives later has no
  // effect.
  Milliseconds order_deadline{0};
  bool stop_wanted = false;
  // A stop call is in progress.
  bool stop_sending = false;
  std::optional<Time> stop_acknowledged;
  // An incarnation of the worker ended that may have begun the run; an order
  // that is still under way may begin it in the next one.
  bool may_have_crashed = false;
  // The start time of that incarnation, if it is known.
  std::optional<WallTime> crashed_incarnation;
  // As in LostRun.
  bool survived_start = false;

  // Work that is lost when it is stopped: none if the stop itself saves it.
  Duration unsaved_work(Time now) const;
  // Whether it may have completed its work since it was last seen at work.
  bool may_have_completed(Time now) const;
  // Whether its worker is alive and has survived its start.
  bool has_proven_start(Time now) const;
  // The part of its run time whose work is preserved when it ends now;
  // `end_checkpoint` is the checkpoint that came with the end, or empty.
  Duration saved_work(const std::string& end_checkpoint, Time now) const;
  // For how long its reports have shown the same percentage.
  Duration idle_in_reports() const;
  // Percent per second since the baseline; zero while that is not yet
  // meaningful.
  double rate() const;
  // Time until it ends at that rate; Duration::max() while the rate is unknown.
  Duration remaining(Time now) const;
};

enum class StartOutcome {
  kAccepted,
  // Refused; it has not run and will not run.
  kRefused,
  // Refused because the worker is not, or no longer, approved for the step.
  kTicketRefused,
  // A coordinator with a higher epoch controls the worker.
  kFenced,
  kNoAnswer,
  // Another incarnation of the worker answers at its address.
  kOtherIncarnation,
};

// Whether a worker may be given tasks, and if not, why.
enum class WorkerAvailability {
  kUsable,
  // No report has arrived since this process became leader.
  kNoReportYet,
  // Calls for its reports are not answered.
  kSilent,
  // The directory no longer lists it, or lists it with an unreadable entry.
  kNotListed,
  // Its entry is too old, or from another incarnation, so that its capacity may
  // be another one.
  kEntryOutdated,
  kLeaving,
  // It holds a run of an unknown job, so that its room is unknown.
  kUnknownLoad,
  // The board says that no leases are renewed there.
  kRenewalsStopped,
  // Its failure domain accepts no new work.
  kDomainClosed,
  // Runs failed or stalled there.
  kQuarantined,
};

std::string_view ToText(WorkerAvailability availability);

// How the incarnation of a worker ended, as far as that is known.
enum class IncarnationEnd {
  // It left as announced.
  kLeft,
  // Another incarnation is at its address.
  kCrashed,
  // It may still run, but all leases there have expired.
  kSilent,
};

class WorkerTracker {
 public:
  explicit WorkerTracker(WorkerRegistration registration);

  const WorkerRegistration& registration() const { return registration_; }
  const std::string& id() const { return registration_.id; }
  void Update(WorkerRegistration registration, Time now);
  // The earliest time at which it leaves, if its entry announces that. Later
  // than announced by the age of the entry.
  std::optional<Time> earliest_departure() const { return departure_; }
  // Whether the incarnation that holds its runs has announced its departure.
  // An announcement is final: the worker gets no new runs, so whatever ends the
  // incarnation is no evidence of a crash of its tasks.
  bool has_announced_departure() const;
  // The announcement as it is to be recorded; nullopt if there is none.
  std::optional<DepartingWorker> departure() const;
  // A previous leader recorded that the incarnation has announced its
  // departure.
  void RestoreDeparture(const DepartingWorker& departure) {
    announcement_ = {departure.incarnation_start};
  }
  // The directory no longer lists it.
  void MarkMissing(Time now) { missing_since_ = now; }
  bool missing() const { return missing_since_.has_value(); }
  // The entry may have been written before an outage of the store. Until the
  // next one confirms the capacity, or until `until`, that counts as unknown.
  void MarkEntryOutdated(Time until) { entry_outdated_until_ = until; }
  void ConfirmEntry() { entry_outdated_until_.reset(); }
  // An entry that is older says nothing of the present capacity.
  void set_max_entry_age(Milliseconds age) { max_entry_age_ = age; }
  // For how long the entry has existed, at least; nullopt if that is not known.
  std::optional<Milliseconds> entry_age(Time now) const;
  // Whether the present capacity may differ from that in the entry: the entry
  // may be from before an outage, is too old or from another incarnation.
  bool IsEntryOutdated(Time now) const;
  // Whether its failure domain accepts no new work.
  void set_domain_closed(bool closed) { domain_closed_ = closed; }
  bool domain_closed() const { return domain_closed_; }
  // Whether its leases must not be renewed, nor tasks started there.
  void set_renewals_stopped(bool stopped) { renewals_stopped_ = stopped; }
  bool renewals_stopped() const { return renewals_stopped_; }

  // Adds a run that this process decided on, or did not expect there. A run of
  // the same task that it replaces still counts until a report lacks it.
  void Add(const TaskRef& task, int run, RunProfile profile, Time now);
  // Adds a run that the previous leader recorded; its leases end by
  // `lease_bound`.
  void Inherit(const TaskRef& task, int run, RunProfile profile, Time now,
               Time lease_bound);
  TrackedRun* Find(const TaskRef& task);
  const std::map<TaskRef, TrackedRun>& runs() const { return runs_; }
  std::map<TaskRef, TrackedRun>& runs() { return runs_; }

  // How long a lease of `term` on the worker's clock may last by this process's
  // clock.
  static Milliseconds MaxLeaseDuration(Milliseconds term);
  // Returns the deadline on the worker's clock that lies `term` ahead. Extends
  // the lease bound accordingly, since the order may be carried out.
  Milliseconds IssueDeadline(Milliseconds term, Time now);

  void OnStartSent(const TaskRef& task, int run, Milliseconds deadline,
                   Time now);
  // Returns the runs that are settled by this answer.
  std::vector<RunEndReport> OnStartAnswer(const TaskRef& task, int run,
                                          StartOutcome outcome, Time now);
  void OnStopAnswer(const TaskRef& task, int run, bool acknowledged, Time now);
  // The incarnation is known to be over by another call than the orders that
  // are under way: it may have carried them out before.
  void MarkOrdersUnanswered(Time now);

  // Whether the report is from an incarnation that is over; such a report must
  // be ignored.
  bool IsFromPastIncarnation(const WorkerStatusReport& report, Time sent) const;
  // Processes a report whose call was sent at `sent`. Returns the runs that
  // have ended since the last report, in order; `unexpected` receives runs that
  // this process did not decide on, unless an earlier report of this
  // incarnation was written later. If it is the first report of another
  // incarnation, all runs of the previous one have ended. An unanswered order
  // may still reach the new incarnation, and is settled there only by a stop.
  // If the report does not list all ends, a run that is missing in it remains.
  std::vector<RunEndReport> OnReport(const WorkerStatusReport& report,
                                     Time sent, Time now,
                                     std::vector<RunReport>* unexpected);
  // A report that was requested at `sent` has listed the run. Returns true if
  // it is the first one that shows that the run has survived its start.
  bool ConfirmStart(const TaskRef& task, int run, Time sent);
  void OnReportFailed(Time now);
  // Its incarnation is over: all runs on it have ended. A worker that had
  // announced its departure has left, whatever answers at its address.
  std::vector<RunEndReport> OnIncarnationEnded(IncarnationEnd end, Time now);

  // Number of the last end that was processed; the worker may forget ends up to
  // recorded_ends().
  int64_t processed_ends() const { return processed_ends_; }
  int64_t recorded_ends() const { return recorded_ends_; }
  // Ends up to `number` of that incarnation were stored.
  void OnEndsRecorded(int incarnation, int64_t number);
  // Number of the current incarnation of those seen under its id.
  int incarnation() const { return incarnation_number_; }
  // Nullopt if the worker does not report it.
  const std::optional<WallTime>& incarnation_start() const {
    return incarnation_.start();
  }
  // A lease may exist on it until `bound`. It covers all that runs there, also
  // what is started later.
  void AssumeLeases(Time bound) {
    lease_bound_ = std::max(lease_bound_, bound);
  }
  // The worker has accepted a lease that lasts until then at least.
  void ConfirmLease(Time until) {
    lease_certain_ = std::max(lease_certain_, until);
  }
  // A lease of `term` from now may exist on it.
  void ExtendLeaseBound(Milliseconds term, Time now);

  // A report arrived under this process's epoch, so that no order of the
  // previous leader can start anything there.
  bool synchronized() const { return synchronized_; }
  bool reachable() const { return failed_reports_ == 0; }
  // Whether it answers calls, as far as is known: it has an address, and the
  // last call was not in vain.
  bool can_be_asked() const {
    return reachable() && !registration_.address.empty();
  }
  WorkerAvailability availability(Time now) const;
  int failed_reports() const { return failed_reports_; }
  // For how long it has not answered; zero while it does.
  Duration silence(Time now) const {
    return silent_since_ ? now - *silent_since_ : Duration::zero();
  }
  // The worker's clock in its last report.
  Milliseconds clock() const { return clock_; }
  // Whether all leases have expired, whichever orders were carried out.
  bool LeasesExpired(Time now) const { return now > lease_bound_; }
  Time lease_bound() const { return lease_bound_; }
  // Until all leases have expired; zero after that.
  Milliseconds lease_left(Time now) const {
    return std::chrono::duration_cast<Milliseconds>(
        std::max(lease_bound_ - now, Duration::zero()));
  }

  // Whether it holds a run of an unknown job, so that its room is unknown.
  bool has_unknown_load() const { return unknown_needs_ > 0; }
  // Resources that nothing may be using. A worker whose capacity was reduced
  // may hold more runs than fit: some amounts are negative then, and nothing
  // may start.
  Resources room() const { return registration_.capacity - used_ - other_use_; }

  // Judged by the outcome of runs there.
  WorkerHealth& health() { return health_; }
  const WorkerHealth& health() const { return health_; }
  // Relative to a healthy worker (1); derived from the progress of its tasks.
  double speed() const { return speed_; }
  void SetSpeed(double speed, Time now);
  // Since when it has run far below its usual speed; nullopt if it does not.
  std::optional<Time> slow_since() const { return slow_since_; }
  bool IsSlowed() const {
    return speed_ <= kSlowedSpeed * std::min(steady_speed_, 1.0);
  }
  // The speed apart from temporary slowness.
  double steady_speed() const { return steady_speed_; }
  void set_steady_speed(double speed) { steady_speed_ = speed; }
  bool has_slow_hardware() const { return steady_speed_ < kSlowHardware; }

 private:
  void UpdateProgress(TrackedRun* run, const RunReport& report,
                      Milliseconds clock, Time now);
  // The worker's clock by now, as far as that is known.
  Milliseconds ClockAt(Time now) const;
  void Erase(std::map<TaskRef, TrackedRun>::iterator run);
  // Takes the worker's clock from a report whose call was sent at `sent`.
  void CompareClocks(Milliseconds clock, Time sent, Time now);
  // A report shows that the previous incarnation is over. Returns its runs that
  // have ended.
  std::vector<RunEndReport> BeginIncarnation(const WorkerStatusReport& report,
                                             Time sent, Time now);
  // Drops the announcement of the incarnation that ended before `start`.
  void DropPastAnnouncement(const std::optional<WallTime>& start);
  bool OutlivesRestart(const TrackedRun& run, const WorkerStatusReport& report,
                       Time sent) const;
  // How a run ends when the incarnation ends, considering an announced
  // departure.
  RunEnd RunEndFor(IncarnationEnd end) const;
  // The end of a run that ends with the incarnation: `end` if it may have
  // begun.
  RunEndReport LostWithIncarnation(const TrackedRun& run, RunEnd end,
                                   Time now) const;
  bool MayHaveBegun(const TrackedRun& run) const;
  // The end of a run that is not there any more.
  RunEndReport AbsentRunEnd(const TrackedRun& run, Time now) const;
  // Whether absence in a report that lists all ends settles the run.
  bool IsSettledByAbsence(const TrackedRun& run, Time sent,
                          Milliseconds clock) const;

  WorkerRegistration registration_;
  WorkerIncarnation incarnation_;
  int incarnation_number_ = 0;
  // The earliest time of an announced departure.
  std::optional<Time> departure_;
  struct Announcement {
    // Of the incarnation that leaves; nullopt if its entry does not say.
    std::optional<WallTime> incarnation_start;
  };
  std::optional<Announcement> announcement_;
  std::optional<Time> missing_since_;
  // Nullopt if the entry was read after the last outage of the store.
  std::optional<Time> entry_outdated_until_;
  // Nullopt if entries of any age count.
  std::optional<Milliseconds> max_entry_age_;
  Time entry_read_at_{};
  bool is_entry_of_other_clock_ = false;
  // The worker's clock in the report that was requested last, and when that
  // arrived. Unlike clock_, it may be set back, by a restart that shows in
  // nothing else.
  Milliseconds last_report_clock_{0};
  Time last_report_at_{};
  bool domain_closed_ = false;
  bool renewals_stopped_ = false;
  std::map<TaskRef, TrackedRun> runs_;
  // Invariant: the sum of the needs of runs_.
  Resources used_;
  // Invariant: the number of runs_ whose need is unknown.
  int unknown_needs_ = 0;
  // What runs use whose tasks are tracked under another run, by the report that
  // was written last.
  Resources other_use_;
  // The worker's clock in its last report, and when that arrived. Directory
  // entries are not used: they are older, and not only workers write them.
  Milliseconds clock_{0};
  Time clock_read_at_{};
  Time lease_bound_{};
  // Until then the worker's leases last, also by the fastest clock.
  Time lease_certain_{};
  bool synchronized_ = false;
  int failed_reports_ = 0;
  // Since when it has not answered; nullopt while it does.
  std::optional<Time> silent_since_;
  // Ends of this incarnation. Invariant: recorded_ends_ <= processed_ends_.
  int64_t processed_ends_ = 0;
  int64_t recorded_ends_ = 0;
  WorkerHealth health_;
  double speed_ = 1;
  std::optional<Time> slow_since_;
  double steady_speed_ = 1;
};

}  // namespace thornplank

#endif  // THORNPLANK_WORKLOAD_WORKER_TRACKER_H_
