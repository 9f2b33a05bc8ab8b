// Entries, executors and callers of the loop.
#include "burst_loop.h"

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

constexpr Duration kOneWay = milliseconds(1);
constexpr Duration kCallerPatience = seconds(2);
constexpr int kBaselineTries = 4;
constexpr int kGuaranteedSlots = 50;

std::unique_ptr<SlotSharingPolicy> MakeShare(Way way) {
  if (way == Way::kAllSlots) {
    return std::make_unique<AllSlots>();
  }
  if (way == Way::kStaticShare) {
    return std::make_unique<StaticShare>();
  }
  return std::make_unique<DemandShare>();
}

class BurstLoop {
 public:
  BurstLoop(Way way, const Load& load, const LoopOptions& options)
      : way_(way),
        load_(load),
        options_(options),
        random_(options.seed),
        running_(kExecutors, 0) {
    figures_.answered_by_account.resize(load.account_weights.size(), 0);
    figures_.latencies_by_account.resize(load.account_weights.size());
  }

  Figures Run() {
    Start();
    while (!events_.empty()) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.time;
      event.run();
    }
    return std::move(figures_);
  }

 private:
  struct Event {
    Time time;
    uint64_t order;
    std::function<void()> run;
    bool operator<(const Event& other) const {
      return std::tie(time, order) > std::tie(other.time, other.order);
    }
  };

  struct Caller {
    int entry = 0;
    int account = 0;
    Time arrival;
    Time started;
    Time sent;
    int tries = 0;
  };

  void At(Time time, std::function<void()> run) {
    events_.push({time, ++order_, std::move(run)});
  }

  void Start() {
    const std::vector<ExecutorInfo> executors = MakeExecutors(kExecutors);
    std::vector<std::string> names;
    names.reserve(kEntries);
    for (int entry = 0; entry < kEntries; ++entry) {
      names.push_back("entry-" + std::to_string(entry));
    }
    for (size_t i = 0; i < executors.size(); ++i) {
      index_[executors[i].name] = static_cast<int>(i);
    }
    now_ = Time(seconds(1));
    begin_ = now_ + seconds(1);
    end_ = begin_ + seconds(options_.burst_seconds);
    for (int entry = 0; entry < kEntries && way_ != Way::kRoundRobin; ++entry) {
      RouterOptions options;
      options.seed = options_.seed + static_cast<uint64_t>(entry);
      options.failure_domain = "domain-" + std::to_string(entry % 4);
      routers_.push_back(
          std::make_unique<RequestRouter>(options, MakeShare(way_)));
      RequestRouter& router = *routers_.back();
      router.SetAccountLimits(
          MakeAccounts(static_cast<int>(load_.account_weights.size()),
                       kGuaranteedSlots),
          now_);
      router.SetExecutors(executors, now_);
      router.SetLiveEntries(names[static_cast<size_t>(entry)], names, now_);
      // Heartbeats of different entries are not at the same time.
      At(now_ + milliseconds(options_.heartbeat_ms * entry / kEntries),
         [this, entry] { Heartbeat(entry); });
      ScheduleTick(entry);
    }
    At(now_, [this] { Arrive(); });
  }

  // A second at half the capacity teaches the service time, then the burst.
  void Arrive() {
    if (now_ >= end_) {
      return;
    }
    const double capacity = kExecutors * kSlots /
                            std::chrono::duration<double>(kMeanService).count();
    const double rate = capacity * (now_ < begin_ ? 0.5 : load_.factor);
    const double gap = std::exponential_distribution<double>(rate)(random_);
    At(now_ + duration_cast<Duration>(std::chrono::duration<double>(gap)),
       [this] { Arrive(); });
    std::discrete_distribution<int> entries(load_.entry_weights.begin(),
                                            load_.entry_weights.end());
    std::discrete_distribution<int> accounts(load_.account_weights.begin(),
                                             load_.account_weights.end());
    Caller caller;
    caller.entry = now_ < begin_ ? static_cast<int>(random_() % kEntries)
                                 : entries(random_);
    caller.account = accounts(random_);
    caller.arrival = now_;
    const int number = static_cast<int>(callers_.size());
    callers_.push_back(caller);
    figures_.arrived += InBurst(now_) ? 1 : 0;
    if (way_ == Way::kRoundRobin) {
      SendRoundRobin(number);
      return;
    }
    RequestInfo request;
    request.id = std::to_string(number);
    request.account = AccountName(caller.account);
    request.service = kServiceName;
    request.deadline = now_ + kCallerPatience;
    Carry(caller.entry,
          routers_[static_cast<size_t>(caller.entry)]->Submit(request, now_));
  }

  bool InBurst(Time time) const { return time >= begin_ && time < end_; }

  void Heartbeat(int entry) {
    if (now_ >= end_ + seconds(3)) {
      return;
    }
    const PeerDemand demand = routers_[static_cast<size_t>(entry)]->demand();
    At(now_ + kOneWay, [this, entry, demand] {
      for (int other = 0; other < kEntries; ++other) {
        if (other != entry) {
          Carry(other, routers_[static_cast<size_t>(other)]->SetPeerDemand(
                           demand, now_));
        }
      }
    });
    At(now_ + milliseconds(options_.heartbeat_ms),
       [this, entry] { Heartbeat(entry); });
  }

  void ScheduleTick(int entry) {
    const std::optional<Time> wake =
        routers_[static_cast<size_t>(entry)]->NextTickTime();
    const Time soonest = now_ + milliseconds(1);
    const Time next = std::max(
        soonest, std::min(wake.value_or(Time::max()), now_ + milliseconds(20)));
    if (next >= end_ + seconds(3)) {
      return;
    }
    At(next, [this, entry] {
      Carry(entry, routers_[static_cast<size_t>(entry)]->Tick(now_));
      ScheduleTick(entry);
    });
  }

  void Carry(int entry, const RoutingActions& actions) {
    for (const RoutingAction& action : actions) {
      if (const auto* send = std::get_if<SendAttempt>(&action)) {
        const int number = std::stoi(send->request_id);
        callers_[static_cast<size_t>(number)].sent = now_;
        const int executor = index_.at(send->executor);
        At(now_ + kOneWay,
           [this, entry, number, executor] { Reach(entry, number, executor); });
      } else if (const auto* answered = std::get_if<FinishAnswered>(&action)) {
        Answered(std::stoi(answered->request_id));
      } else if (const auto* refused = std::get_if<FinishNotRun>(&action)) {
        NotRun(std::stoi(refused->request_id));
      } else if (std::holds_alternative<FinishUnknown>(action)) {
        ++figures_.unknown;
      } else if (const auto* probe = std::get_if<ProbeExecutor>(&action)) {
        const std::string executor = probe->executor;
        At(now_ + 2 * kOneWay, [this, entry, executor] {
          AttemptResult result;
          result.outcome = AttemptOutcome::kAnswered;
          Carry(entry, routers_[static_cast<size_t>(entry)]->HandleProbeResult(
                           executor, result, now_));
        });
      }
    }
  }

  // The request arrives at the executor.
  void Reach(int entry, int number, int executor) {
    int& running = running_[static_cast<size_t>(executor)];
    if (running >= kSlots) {
      figures_.refused_attempts += InBurst(now_) ? 1 : 0;
      At(now_ + kOneWay, [this, entry, number, executor] {
        End(entry, number, executor, AttemptOutcome::kRefusedNotRun);
      });
      return;
    }
    ++running;
    callers_[static_cast<size_t>(number)].started = now_;
    const double mean = std::chrono::duration<double>(kMeanService).count();
    // Half fixed, half exponential.
    const double time =
        mean / 2 + std::exponential_distribution<double>(2 / mean)(random_);
    At(now_ + duration_cast<Duration>(std::chrono::duration<double>(time)),
       [this, entry, number, executor] {
         --running_[static_cast<size_t>(executor)];
         At(now_ + kOneWay, [this, entry, number, executor] {
           End(entry, number, executor, AttemptOutcome::kAnswered);
         });
       });
  }

  void End(int entry, int number, int executor, AttemptOutcome outcome) {
    const Caller& caller = callers_[static_cast<size_t>(number)];
    if (way_ == Way::kRoundRobin) {
      if (outcome == AttemptOutcome::kAnswered) {
        Answered(number);
      } else if (caller.tries < kBaselineTries) {
        SendRoundRobin(number);
      } else {
        NotRun(number);
      }
      return;
    }
    AttemptResult result;
    result.outcome = outcome;
    result.latency = now_ - caller.sent;
    Carry(entry,
          routers_[static_cast<size_t>(entry)]->CompleteAttempt(
              std::to_string(number),
              "executor-" + std::to_string(1000 + executor), result, now_));
  }

  void SendRoundRobin(int number) {
    Caller& caller = callers_[static_cast<size_t>(number)];
    ++caller.tries;
    const int executor = next_[caller.entry]++ % kExecutors;
    const int entry = caller.entry;
    At(now_ + kOneWay,
       [this, entry, number, executor] { Reach(entry, number, executor); });
  }

  void Answered(int number) {
    const Caller& caller = callers_[static_cast<size_t>(number)];
    if (!InBurst(now_)) {
      return;
    }
    ++figures_.answered;
    if (now_ - caller.arrival <= kCallerPatience) {
      ++figures_.answered_in_time;
      ++figures_.answered_by_account[static_cast<size_t>(caller.account)];
    }
    figures_.latencies_by_account[static_cast<size_t>(caller.account)]
        .push_back(now_ - caller.arrival);
    figures_.waits.push_back(caller.started - caller.arrival);
  }

  void NotRun(int number) {
    if (!InBurst(now_)) {
      return;
    }
    ++figures_.not_run;
    figures_.refusal_delays.push_back(
        now_ - callers_[static_cast<size_t>(number)].arrival);
  }

  const Way way_;
  const Load load_;
  const LoopOptions options_;
  std::mt19937_64 random_;
  std::priority_queue<Event> events_;
  uint64_t order_ = 0;
  Time now_;
  Time begin_;
  Time end_;
  std::vector<std::unique_ptr<RequestRouter>> routers_;
  std::unordered_map<std::string, int> index_;
  std::vector<Caller> callers_;
  std::vector<int> running_;
  int next_[kEntries] = {0, 6, 12, 18, 25, 31, 37, 43};
  Figures figures_;
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

Figures RunBurst(Way way, const Load& load, const LoopOptions& options) {
  return BurstLoop(way, load, options).Run();
}

}  // namespace thornplank
