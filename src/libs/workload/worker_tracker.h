// What the coordinator believes of one worker, life by life: which runs may be
// on it, when its leases end at the latest, and whether it can be trusted.
//
// An order without an answer may be carried out seconds later. A run is
// therefore settled only by evidence: its end or absence in a report, an
// acknowledged stop, the end of the worker's life, or the passing of the
// order's own deadline. Until then it keeps its room and no second run of its
// task may exist.
#ifndef THORNPLANK_WORKLOAD_WORKER_TRACKER_H_
#define THORNPLANK_WORKLOAD_WORKER_TRACKER_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "workload/pace_control.h"
#include "workload/worker_incarnation.h"
#include "workload/worker_report.h"
#include "workload/worker_trust.h"

namespace thornplank {

enum class RunStage {
  // Decided; the record of it is on its way to the store.
  kRecording,
  // The order was sent.
  kSending,
  // The order has no answer.
  kUnknown,
  // Recorded by a predecessor; this process has no report of it yet.
  kInherited,
  kRunning,
};

std::string_view ToText(RunStage stage);

// At this speed and below a worker is slowed for a while: sound ones differ by
// 0.8 to 1.3, slowed ones run at a quarter and less.
inline constexpr double kSlowedSpeed = 0.5;

// What a run takes and what its loss would cost.
struct RunProfile {
  Resources need;
  int priority = 0;
  bool checkpointable = false;
  bool gang = false;
  bool long_running = false;
  // Its cores are not reserved; it is slowed where it disturbs serving tasks.
  bool is_filler = false;
  // Of a serving task; zero for any other.
  Milliseconds tail_latency_target{0};
  std::string account;
  // Elsewhere it takes several times as long; "" for no such rack.
  std::string data_rack;
  // Workers were lost under its task.
  bool on_probation = false;
};

struct TrackedRun {
  TaskRef task;
  int run = 0;
  RunProfile profile;
  RunStage stage = RunStage::kRecording;
  // When the stage began, by this process's clock.
  Time since{};
  // When its order went out first.
  Time sent{};
  // When it was first seen at work.
  Time began{};
  int percent = 0;
  // As in RunReport.
  int64_t load = 0;
  // Percent of full speed that it surely has; nullopt when that is not known.
  std::optional<int> pace = kFullPace;
  bool pace_sending = false;
  // When its percentage last moved, and when a report last showed it.
  Time progressed{};
  Time reported{};
  // Where its progress is measured from: its start, or the first report of one
  // that resumed or that was taken over.
  int baseline_percent = 0;
  std::optional<Time> baseline;
  // Begins with a checkpoint, so that its first percentage is not its own work.
  bool resumed = false;
  std::string checkpoint;
  // When a report first showed that checkpoint, where this run made it.
  Time saved{};
  // On the worker's clock: a start that arrives later does nothing.
  Milliseconds order_deadline{0};
  bool stop_wanted = false;
  // A stop call is under way.
  bool stop_sending = false;
  std::optional<Time> stop_acknowledged;

  // Work that is lost when it is told to stop: none where the stop itself
  // saves it.
  Duration unsaved(Time now) const;
  // Its worker, which lives, has borne its start.
  bool is_proven(Time now) const;
  // Of the time that it has worked, what is not lost when it ends so; `made` is
  // the checkpoint that its end brought.
  Duration saved_work(const std::string& made, Time now) const;
  // Percent a second since the baseline; zero when that tells nothing yet.
  double rate() const;
  // Until it ends at that rate; Duration::max() when it tells nothing yet.
  Duration remaining(Time now) const;
};

enum class StartOutcome {
  kAccepted,
  // Refused; it has not run and will not run.
  kRefused,
  // The same, since the worker is not, or no longer, approved for the step.
  kTicketRefused,
  // A coordinator with a higher epoch gives the orders there.
  kFenced,
  kNoAnswer,
  // Another life of the worker answers at its address.
  kOtherIncarnation,
};

// Whether a worker may be given tasks, and if not, why.
enum class WorkerAvailability {
  kUsable,
  // No report has come since this process leads.
  kNoReportYet,
  // Its reports have no answer.
  kSilent,
  // The directory lists it no more, or with an entry that cannot be read.
  kNotListed,
  kLeaving,
  // Its failure domain takes no new work.
  kDomainClosed,
  // It failed what it was given.
  kQuarantined,
};

std::string_view ToText(WorkerAvailability availability);

// How the life of a worker ended, as far as that is known.
enum class IncarnationEnd {
  // As it had announced.
  kLeft,
  // Another life is at its address.
  kCrashed,
  // It may live on, but all leases there have ended.
  kSilent,
};

class WorkerTracker {
 public:
  explicit WorkerTracker(WorkerRegistration registration);

  const WorkerRegistration& registration() const { return registration_; }
  const std::string& id() const { return registration_.id; }
  void Update(WorkerRegistration registration, Time now);
  // Where it has announced that: the earliest time at which it leaves.
  std::optional<Time> earliest_departure() const { return earliest_departure_; }
  // The directory no longer lists it.
  void MarkMissing(Time now) { missing_since_ = now; }
  bool missing() const { return missing_since_.has_value(); }
  // Its failure domain takes no new work.
  void set_domain_closed(bool closed) { domain_closed_ = closed; }
  bool domain_closed() const { return domain_closed_; }

  // A run that this process decided on.
  void Add(const TaskRef& task, int run, RunProfile profile, Time now);
  // A run that a predecessor recorded; its leases end by `lease_bound`.
  void Inherit(const TaskRef& task, int run, RunProfile profile, Time now,
               Time lease_bound);
  TrackedRun* Find(const TaskRef& task);
  const std::map<TaskRef, TrackedRun>& runs() const { return runs_; }
  std::map<TaskRef, TrackedRun>& runs() { return runs_; }

  // How long a lease of `term` may last by this process's clock.
  static Milliseconds MaxLeaseDuration(Milliseconds term);
  // The deadline on the worker's clock that lies `term` ahead. The lease bound
  // moves with it, since the order may be carried out.
  Milliseconds IssueDeadline(Milliseconds term, Time now);

  void OnStartSent(const TaskRef& task, int run, Milliseconds deadline,
                   Time now);
  // Runs that are settled by this answer.
  std::vector<RunEndReport> OnStartAnswer(const TaskRef& task, int run,
                                          StartOutcome outcome, Time now);
  void OnStopAnswer(const TaskRef& task, int run, bool acknowledged, Time now);

  // Whether the report comes from a life that is over: nothing of it counts.
  bool IsFromPastIncarnation(const WorkerStatusReport& report, Time sent) const;
  // A report whose call was sent at `sent`. Returns what has ended since the
  // last one, in order; `unexpected` gets runs that nobody here decided on.
  // Where it is the first of another life, all that ran in the life before has
  // ended. An order without an answer may yet reach the new one, and is settled
  // there by a stop alone.
  std::vector<RunEndReport> OnReport(const WorkerStatusReport& report,
                                     Time sent, Time now,
                                     std::vector<RunReport>* unexpected);
  void OnReportFailed(Time now);
  // Its life is over: everything on it has ended. One that had announced to
  // leave by now has left, whatever is found at its address.
  std::vector<RunEndReport> OnIncarnationEnded(IncarnationEnd end, Time now);

  // The number of the last end that was processed; the worker may forget ends
  // up to `recorded_ends`.
  int64_t processed_ends() const { return processed_ends_; }
  int64_t recorded_ends() const { return recorded_ends_; }
  // Ends up to `number` of that life.
  void OnEndsRecorded(int incarnation, int64_t number);
  // The life that is told of now, of those that were seen under its id.
  int incarnation() const { return incarnation_number_; }
  // Nullopt: it does not say.
  const std::optional<WallTime>& incarnation_start() const {
    return incarnation_.start();
  }
  // Something may hold a lease as long as `term` from now.
  void ExtendLeaseBound(Milliseconds term, Time now);

  // A report came under this process's epoch, so that no order of a
  // predecessor can begin anything there.
  bool synchronized() const { return synchronized_; }
  bool reachable() const { return failed_reports_ == 0; }
  WorkerAvailability availability(Time now) const;
  int failed_reports() const { return failed_reports_; }
  // The worker's clock as its last report had it.
  Milliseconds clock() const { return clock_; }
  // All leases have ended, whatever was carried out.
  bool LeasesExpired(Time now) const { return now > lease_bound_; }
  Time lease_bound() const { return lease_bound_; }

  // Room that nothing may be using. A worker that has shrunk may hold more than
  // it has capacity for: the room is overdrawn then, and nothing may begin.
  Resources room() const { return registration_.capacity - used_; }

  // By what became of work there.
  WorkerTrust& trust() { return trust_; }
  const WorkerTrust& trust() const { return trust_; }
  // Against a sound worker: 1; set from the progress of its tasks.
  double speed() const { return speed_; }
  void SetSpeed(double speed, Time now);
  // Since when it runs far below its usual speed; nullopt: it does not.
  std::optional<Time> slow_since() const { return slow_since_; }
  // The same for good, but for spells in which it is slowed.
  double steady_speed() const { return steady_speed_; }
  void set_steady_speed(double speed) { steady_speed_ = speed; }

 private:
  void Progress(TrackedRun* run, const RunReport& report, Time now);
  void Erase(std::map<TaskRef, TrackedRun>::iterator run);
  // A report shows that the life before is over.
  std::vector<RunEndReport> BeginIncarnation(const WorkerStatusReport& report,
                                             Time sent, Time now);
  bool OutlivesRestart(const TrackedRun& run, const WorkerStatusReport& report,
                       Time sent) const;
  // What the end of its life is, after what it had announced.
  RunEnd RunEndFor(IncarnationEnd end, Time now) const;
  // The end of a run that ends with the life: `end`, if it may have begun.
  RunEndReport LostWithIncarnation(const TrackedRun& run, RunEnd end,
                                   Time now) const;
  bool MayHaveBegun(const TrackedRun& run) const;
  bool IsSettledByAbsence(const TrackedRun& run, Time sent,
                          Milliseconds clock) const;

  WorkerRegistration registration_;
  WorkerIncarnation incarnation_;
  int incarnation_number_ = 0;
  std::optional<Time> earliest_departure_;
  std::optional<Time> missing_since_;
  bool domain_closed_ = false;
  std::map<TaskRef, TrackedRun> runs_;
  // Invariant: the sum of the needs of runs_.
  Resources used_;
  // The worker's clock as its last report had it, and when. The directory's
  // entries are older, and others than workers write there too.
  Milliseconds clock_{0};
  Time clock_heard_{};
  Time lease_bound_{};
  bool synchronized_ = false;
  int failed_reports_ = 0;
  // Since when it has not answered; nullopt while it does.
  std::optional<Time> silent_since_;
  // Of this life; invariant: what is recorded was processed.
  int64_t processed_ends_ = 0;
  int64_t recorded_ends_ = 0;
  WorkerTrust trust_;
  double speed_ = 1;
  std::optional<Time> slow_since_;
  double steady_speed_ = 1;
};

}  // namespace thornplank

#endif  // THORNPLANK_WORKLOAD_WORKER_TRACKER_H_
