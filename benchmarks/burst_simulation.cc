// Implements the simulated entries, executors and callers.
#include "burst_simulation.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <variant>

#include "routing/all_slots.h"
#include "routing/demand_share.h"
#include "routing/request_router.h"
#include "routing/static_share.h"

namespace thornplank {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kOneWayLatency = milliseconds(1);
constexpr Duration kCallerTimeout = seconds(2);
constexpr int kRoundRobinAttempts = 4;
constexpr int kGuaranteedSlots = 50;

std::unique_ptr<SlotSharingPolicy> MakeSharingPolicy(RoutingMethod method) {
  if (method == RoutingMethod::kAllSlots) {
    return std::make_unique<AllSlots>();
  }
  if (method == RoutingMethod::kStaticShare) {
    return std::make_unique<StaticShare>();
  }
  return std::make_unique<DemandShare>();
}

class BurstSimulation {
 public:
  BurstSimulation(RoutingMethod method, const LoadProfile& load,
                  const BurstOptions& options)
      : method_(method),
        load_(load),
        options_(options),
        random_(options.seed),
        busy_slots_(kExecutors, 0) {
    results_.answered_by_account.resize(load.account_weights.size(), 0);
    results_.latencies_by_account.resize(load.account_weights.size());
  }

  BurstResults Run() {
    Start();
    while (!events_.empty()) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.time;
      event.run();
    }
    return std::move(results_);
  }

 private:
  // Events with equal times run in the order of their scheduling.
  struct Event {
    Time time;
    uint64_t order;
    std::function<void()> run;
    bool operator<(const Event& other) const {
      return std::tie(time, order) > std::tie(other.time, other.order);
    }
  };

  struct SimulatedRequest {
    int entry = 0;
    int account = 0;
    Time arrival;
    Time started;
    Time sent;
    int attempts = 0;
  };

  void ScheduleAt(Time time, std::function<void()> run) {
    events_.push({time, ++next_event_order_, std::move(run)});
  }

  void Start() {
    const std::vector<ExecutorInfo> executors = MakeExecutors(kExecutors);
    std::vector<std::string> names;
    names.reserve(kEntries);
    for (int entry = 0; entry < kEntries; ++entry) {
      names.push_back("entry-" + std::to_string(entry));
    }
    for (size_t i = 0; i < executors.size(); ++i) {
      executor_indices_[executors[i].name] = static_cast<int>(i);
    }
    now_ = Time(seconds(1));
    burst_begin_ = now_ + seconds(1);
    burst_end_ = burst_begin_ + seconds(options_.burst_seconds);
    for (int entry = 0;
         entry < kEntries && method_ != RoutingMethod::kRoundRobin; ++entry) {
      RouterOptions options;
      options.seed = options_.seed + static_cast<uint64_t>(entry);
      options.failure_domain = "domain-" + std::to_string(entry % 4);
      routers_.push_back(
          std::make_unique<RequestRouter>(options, MakeSharingPolicy(method_)));
      RequestRouter& router = *routers_.back();
      router.SetAccountLimits(
          MakeAccounts(static_cast<int>(load_.account_weights.size()),
                       kGuaranteedSlots),
          now_);
      router.SetExecutors(executors, now_);
      router.SetLiveEntries(names[static_cast<size_t>(entry)], names, now_);
      // Heartbeats of different entries are spread over the interval.
      ScheduleAt(now_ + milliseconds(options_.heartbeat_ms * entry / kEntries),
                 [this, entry] { Heartbeat(entry); });
      ScheduleTick(entry);
    }
    ScheduleAt(now_, [this] { HandleArrival(); });
  }

  // The routers learn the service time in a second at half the capacity before
  // the burst.
  void HandleArrival() {
    if (now_ >= burst_end_) {
      return;
    }
    const double capacity =
        kExecutors * kSlots /
        std::chrono::duration<double>(kMeanServiceTime).count();
    const double rate = capacity * (now_ < burst_begin_ ? 0.5 : load_.factor);
    const double gap = std::exponential_distribution<double>(rate)(random_);
    ScheduleAt(
        now_ + duration_cast<Duration>(std::chrono::duration<double>(gap)),
        [this] { HandleArrival(); });
    std::discrete_distribution<int> entries(load_.entry_weights.begin(),
                                            load_.entry_weights.end());
    std::discrete_distribution<int> accounts(load_.account_weights.begin(),
                                             load_.account_weights.end());
    SimulatedRequest request;
    request.entry = now_ < burst_begin_ ? static_cast<int>(random_() % kEntries)
                                        : entries(random_);
    request.account = accounts(random_);
    request.arrival = now_;
    const int number = static_cast<int>(requests_.size());
    requests_.push_back(request);
    results_.arrived += InBurst(now_) ? 1 : 0;
    if (method_ == RoutingMethod::kRoundRobin) {
      SendRoundRobin(number);
      return;
    }
    RequestInfo request_info;
    request_info.id = std::to_string(number);
    request_info.account = AccountName(request.account);
    request_info.service = kServiceName;
    request_info.deadline = now_ + kCallerTimeout;
    ApplyActions(request.entry,
                 routers_[static_cast<size_t>(request.entry)]->Submit(
                     request_info, now_));
  }

  bool InBurst(Time time) const {
    return time >= burst_begin_ && time < burst_end_;
  }

  void Heartbeat(int entry) {
    if (now_ >= burst_end_ + seconds(3)) {
      return;
    }
    const PeerDemand demand = routers_[static_cast<size_t>(entry)]->demand();
    ScheduleAt(now_ + kOneWayLatency, [this, entry, demand] {
      for (int other = 0; other < kEntries; ++other) {
        if (other != entry) {
          ApplyActions(
              other, routers_[static_cast<size_t>(other)]->SetPeerDemand(demand,
                                                                         now_));
        }
      }
    });
    ScheduleAt(now_ + milliseconds(options_.heartbeat_ms),
               [this, entry] { Heartbeat(entry); });
  }

  void ScheduleTick(int entry) {
    const std::optional<Time> wake =
        routers_[static_cast<size_t>(entry)]->NextTickTime();
    const Time soonest = now_ + milliseconds(1);
    const Time next = std::max(
        soonest, std::min(wake.value_or(Time::max()), now_ + milliseconds(20)));
    if (next >= burst_end_ + seconds(3)) {
      return;
    }
    ScheduleAt(next, [this, entry] {
      ApplyActions(entry, routers_[static_cast<size_t>(entry)]->Tick(now_));
      ScheduleTick(entry);
    });
  }

  void ApplyActions(int entry, const RoutingActions& actions) {
    for (const RoutingAction& action : actions) {
      if (const auto* send = std::get_if<SendAttempt>(&action)) {
        const int number = std::stoi(send->request_id);
        requests_[static_cast<size_t>(number)].sent = now_;
        const int executor = executor_indices_.at(send->executor);
        ScheduleAt(now_ + kOneWayLatency, [this, entry, number, executor] {
          ArriveAtExecutor(entry, number, executor);
        });
      } else if (const auto* answered = std::get_if<FinishAnswered>(&action)) {
        RecordAnswer(std::stoi(answered->request_id));
      } else if (const auto* refused = std::get_if<FinishNotRun>(&action)) {
        RecordRefusal(std::stoi(refused->request_id));
      } else if (std::holds_alternative<FinishUnknown>(action)) {
        ++results_.unknown;
      } else if (const auto* probe = std::get_if<ProbeExecutor>(&action)) {
        const std::string executor = probe->executor;
        ScheduleAt(now_ + 2 * kOneWayLatency, [this, entry, executor] {
          AttemptResult result;
          result.outcome = AttemptOutcome::kAnswered;
          ApplyActions(entry,
                       routers_[static_cast<size_t>(entry)]->HandleProbeResult(
                           executor, result, now_));
        });
      }
    }
  }

  // Runs the request on the executor or refuses it.
  void ArriveAtExecutor(int entry, int number, int executor) {
    int& busy_slots = busy_slots_[static_cast<size_t>(executor)];
    if (busy_slots >= kSlots) {
      results_.refused_attempts += InBurst(now_) ? 1 : 0;
      ScheduleAt(now_ + kOneWayLatency, [this, entry, number, executor] {
        FinishAttempt(entry, number, executor, AttemptOutcome::kRefusedNotRun);
      });
      return;
    }
    ++busy_slots;
    requests_[static_cast<size_t>(number)].started = now_;
    const double mean = std::chrono::duration<double>(kMeanServiceTime).count();
    // Half of the service time is constant, half exponentially distributed.
    const double time =
        mean / 2 + std::exponential_distribution<double>(2 / mean)(random_);
    ScheduleAt(
        now_ + duration_cast<Duration>(std::chrono::duration<double>(time)),
        [this, entry, number, executor] {
          --busy_slots_[static_cast<size_t>(executor)];
          ScheduleAt(now_ + kOneWayLatency, [this, entry, number, executor] {
            FinishAttempt(entry, number, executor, AttemptOutcome::kAnswered);
          });
        });
  }

  void FinishAttempt(int entry, int number, int executor,
                     AttemptOutcome outcome) {
    const SimulatedRequest& request = requests_[static_cast<size_t>(number)];
    if (method_ == RoutingMethod::kRoundRobin) {
      if (outcome == AttemptOutcome::kAnswered) {
        RecordAnswer(number);
      } else if (request.attempts < kRoundRobinAttempts) {
        SendRoundRobin(number);
      } else {
        RecordRefusal(number);
      }
      return;
    }
    AttemptResult result;
    result.outcome = outcome;
    result.latency = now_ - request.sent;
    ApplyActions(entry, routers_[static_cast<size_t>(entry)]->CompleteAttempt(
                            std::to_string(number),
                            "executor-" + std::to_string(1000 + executor),
                            result, now_));
  }

  void SendRoundRobin(int number) {
    SimulatedRequest& request = requests_[static_cast<size_t>(number)];
    ++request.attempts;
    const int executor = next_executor_[request.entry]++ % kExecutors;
    const int entry = request.entry;
    ScheduleAt(now_ + kOneWayLatency, [this, entry, number, executor] {
      ArriveAtExecutor(entry, number, executor);
    });
  }

  void RecordAnswer(int number) {
    const SimulatedRequest& request = requests_[static_cast<size_t>(number)];
    if (!InBurst(now_)) {
      return;
    }
    ++results_.answered;
    if (now_ - request.arrival <= kCallerTimeout) {
      ++results_.answered_in_time;
      ++results_.answered_by_account[static_cast<size_t>(request.account)];
    }
    results_.latencies_by_account[static_cast<size_t>(request.account)]
        .push_back(now_ - request.arrival);
    results_.waits.push_back(request.started - request.arrival);
  }

  void RecordRefusal(int number) {
    if (!InBurst(now_)) {
      return;
    }
    ++results_.not_run;
    results_.refusal_delays.push_back(
        now_ - requests_[static_cast<size_t>(number)].arrival);
  }

  const RoutingMethod method_;
  const LoadProfile load_;
  const BurstOptions options_;
  std::mt19937_64 random_;
  std::priority_queue<Event> events_;
  uint64_t next_event_order_ = 0;
  Time now_;
  Time burst_begin_;
  Time burst_end_;
  std::vector<std::unique_ptr<RequestRouter>> routers_;
  std::unordered_map<std::string, int> executor_indices_;
  std::vector<SimulatedRequest> requests_;
  std::vector<int> busy_slots_;
  int next_executor_[kEntries] = {0, 6, 12, 18, 25, 31, 37, 43};
  BurstResults results_;
};

}  // namespace

std::vector<ExecutorInfo> MakeExecutors(int count) {
  std::vector<ExecutorInfo> executors;
  for (int i = 0; i < count; ++i) {
    ExecutorInfo info;
    info.name = "executor-" + std::to_string(1000 + i);
    info.address = "127.0.0.1:" + std::to_string(10000 + i);
    info.service = kServiceName;
    info.failure_domain = "domain-" + std::to_string(i % 4);
    info.slots = kSlots;
    executors.push_back(info);
  }
  return executors;
}

std::string AccountName(int number) {
  return "account-" + std::to_string(10 + number);
}

std::vector<AccountLimits> MakeAccounts(int count, int guaranteed) {
  std::vector<AccountLimits> accounts;
  for (int i = 0; i < count; ++i) {
    AccountLimits limits;
    limits.account = AccountName(i);
    limits.guaranteed_slots = guaranteed;
    accounts.push_back(limits);
  }
  return accounts;
}

BurstResults RunBurst(RoutingMethod method, const LoadProfile& load,
                      const BurstOptions& options) {
  return BurstSimulation(method, load, options).Run();
}

}  // namespace thornplank
