// Reaction of the router to upstreams that fail, do not answer, are full or
// leave, and to accounts that flood it.
#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "routing/request_router.h"
#include "routing_fixtures.h"

namespace thornplank {
namespace {

using routing_test::At;
using routing_test::MakeAccount;
using routing_test::MakeExecutor;
using routing_test::MakeExecutors;
using routing_test::MakeRequest;
using routing_test::MakeResult;
using std::chrono::milliseconds;
using std::chrono::seconds;

const std::string kFaultyExecutor = "executor-100";
constexpr int kLatencyMs = 10;

// Outcome of a request at an executor.
struct Reaction {
  AttemptOutcome outcome = AttemptOutcome::kAnswered;
  int latency_ms = kLatencyMs;
  bool leaving = false;
};

// Drives a router with requests in virtual time.
class Simulation {
 public:
  using Behaviour = std::function<Reaction(const SendAttempt&)>;

  Simulation(int executors, std::vector<AccountLimits> accounts,
             Behaviour behaviour)
      : router_(RouterOptions{}), behaviour_(std::move(behaviour)) {
    router_.SetAccountLimits(accounts, now_);
    router_.SetExecutors(MakeExecutors(executors), now_);
    router_.SetLiveEntries("entry-1", {}, now_);
  }

  // From now on `per_ms` requests of the account arrive per millisecond.
  void SetArrivalRate(const std::string& account, int per_ms) {
    arrivals_[account] = per_ms;
  }

  void Advance(int ms) {
    for (int i = 0; i < ms; ++i) {
      now_ += milliseconds(1);
      while (!ends_.empty() && ends_.begin()->first <= now_) {
        const auto [attempt, reaction] = ends_.begin()->second;
        ends_.erase(ends_.begin());
        Execute(router_.CompleteAttempt(
            attempt.request_id, attempt.executor,
            MakeResult(reaction.outcome, reaction.latency_ms, reaction.leaving),
            now_));
      }
      Execute(router_.Tick(now_));
      for (const auto& [account, per_ms] : arrivals_) {
        for (int k = 0; k < per_ms; ++k) {
          Execute(router_.Submit(MakeRequest("r" + std::to_string(++number_),
                                             account, now_ + seconds(1)),
                                 now_));
        }
      }
    }
  }

  RequestRouter& router() { return router_; }
  Time now() const { return now_; }
  int sent_to(const std::string& executor) { return sent_[executor]; }
  int ejections(const std::string& executor) { return ejections_[executor]; }
  size_t executors_ejected() const { return ejections_.size(); }
  int reinstated() const { return reinstated_; }
  int answered() const { return answered_; }

  void Execute(const RoutingActions& actions) {
    for (const RoutingAction& action : actions) {
      if (const auto* send = std::get_if<SendAttempt>(&action)) {
        ++sent_[send->executor];
        const Reaction reaction = behaviour_(*send);
        const Time end = now_ + milliseconds(reaction.latency_ms);
        ends_.emplace(std::min(end, send->attempt_deadline),
                      std::make_pair(*send, reaction));
      } else if (const auto* ejected = std::get_if<ExecutorEjected>(&action)) {
        ++ejections_[ejected->executor];
      } else if (std::holds_alternative<ExecutorReinstated>(action)) {
        ++reinstated_;
      } else if (std::holds_alternative<FinishAnswered>(action)) {
        ++answered_;
      } else if (const auto* probe = std::get_if<ProbeExecutor>(&action)) {
        probes_.push_back(probe->executor);
      }
    }
    while (!probes_.empty()) {
      const std::string executor = probes_.front();
      probes_.pop_front();
      Execute(router_.HandleProbeResult(
          executor, MakeResult(AttemptOutcome::kAnswered), now_));
    }
  }

 private:
  RequestRouter router_;
  Behaviour behaviour_;
  Time now_ = At(0);
  int number_ = 0;
  std::map<std::string, int> arrivals_;
  std::multimap<Time, std::pair<SendAttempt, Reaction>> ends_;
  std::deque<std::string> probes_;
  std::map<std::string, int> sent_;
  std::map<std::string, int> ejections_;
  int reinstated_ = 0;
  int answered_ = 0;
};

TEST_CASE("a faulty upstream among healthy ones gets few requests") {
  struct Row {
    std::string name;
    Reaction reaction;
  };
  const Row rows[] = {
      {"fails fast", {AttemptOutcome::kFailed, 1, false}},
      {"black hole", {AttemptOutcome::kUnknown, 60000, false}},
      {"cannot be reached", {AttemptOutcome::kNotSent, 0, false}},
      {"loses answers", {AttemptOutcome::kUnknown, 3, false}},
      {"twenty times slower", {AttemptOutcome::kAnswered, 200, false}},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    Simulation simulation(10, {MakeAccount("a")}, [&](const SendAttempt& send) {
      return send.executor == kFaultyExecutor ? row.reaction : Reaction{};
    });
    simulation.SetArrivalRate("a", 2);
    simulation.Advance(4000);
    MESSAGE(row.name, ": ", simulation.sent_to(kFaultyExecutor),
            " of 8000 requests");
    CHECK(simulation.ejections(kFaultyExecutor) >= 1);
    CHECK(simulation.sent_to(kFaultyExecutor) < 150);
    CHECK(simulation.sent_to("executor-105") > 500);
    CHECK(simulation.executors_ejected() == 1);
  }
}

TEST_CASE("a repaired upstream is reinstated") {
  bool repaired = false;
  Simulation simulation(10, {MakeAccount("a")}, [&](const SendAttempt& send) {
    return send.executor == kFaultyExecutor && !repaired
               ? Reaction{AttemptOutcome::kFailed, 1, false}
               : Reaction{};
  });
  simulation.SetArrivalRate("a", 2);
  simulation.Advance(500);
  repaired = true;
  simulation.Advance(3000);
  const int before = simulation.sent_to(kFaultyExecutor);
  simulation.Advance(2000);
  CHECK(simulation.reinstated() >= 1);
  CHECK(simulation.sent_to(kFaultyExecutor) - before > 200);
}

TEST_CASE("when many upstreams fail, enough stay in rotation") {
  struct Row {
    std::string name;
    int bad;
    Reaction reaction;
    size_t max_ejected;
  };
  const Row rows[] = {
      {"all fail", 10, {AttemptOutcome::kFailed, 1, false}, 5},
      {"six of ten fail", 6, {AttemptOutcome::kFailed, 1, false}, 5},
      {"four of ten are slow", 4, {AttemptOutcome::kAnswered, 200, false}, 2},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    Simulation simulation(10, {MakeAccount("a")}, [&](const SendAttempt& send) {
      return send.executor < MakeExecutor(row.bad).name ? row.reaction
                                                        : Reaction{};
    });
    simulation.SetArrivalRate("a", 2);
    simulation.Advance(900);
    CHECK(simulation.executors_ejected() <= row.max_ejected);
  }
}

TEST_CASE("failing requests of one account eject no executor") {
  Simulation simulation(
      10, {MakeAccount("bad"), MakeAccount("good")},
      [&](const SendAttempt& send) {
        // Requests are numbered; every third one is of the bad account.
        const int number = std::stoi(send.request_id.substr(1));
        return number % 3 == 1 ? Reaction{AttemptOutcome::kFailed, 1, false}
                               : Reaction{};
      });
  simulation.SetArrivalRate("bad", 1);
  simulation.SetArrivalRate("good", 2);
  simulation.Advance(3000);
  CHECK(simulation.answered() > 8000);
  CHECK(simulation.executors_ejected() == 0);
}

TEST_CASE("a leaving upstream gets no new requests") {
  std::vector<ExecutorInfo> executors = MakeExecutors(4);
  bool announces_leaving = false;
  Simulation simulation(4, {MakeAccount("a")}, [&](const SendAttempt& send) {
    Reaction reaction;
    reaction.leaving = announces_leaving && send.executor == kFaultyExecutor;
    return reaction;
  });
  simulation.SetArrivalRate("a", 1);
  simulation.Advance(100);
  SUBCASE("when the instance list marks it") {
    executors[0].leaving = true;
    simulation.Execute(
        simulation.router().SetExecutors(executors, simulation.now()));
    const int before = simulation.sent_to(kFaultyExecutor);
    simulation.Advance(500);
    CHECK(simulation.sent_to(kFaultyExecutor) == before);
  }
  SUBCASE("when it announces it, whatever the list says") {
    announces_leaving = true;
    simulation.Advance(50);
    const int before = simulation.sent_to(kFaultyExecutor);
    simulation.Execute(
        simulation.router().SetExecutors(executors, simulation.now()));
    simulation.Advance(500);
    executors[0].leaving = true;
    simulation.Execute(
        simulation.router().SetExecutors(executors, simulation.now()));
    executors[0].leaving = false;
    simulation.Execute(
        simulation.router().SetExecutors(executors, simulation.now()));
    simulation.Advance(500);
    CHECK(simulation.sent_to(kFaultyExecutor) == before);
    SUBCASE("until another upstream takes its name") {
      executors[0].address = "127.0.0.1:9999";
      simulation.Execute(
          simulation.router().SetExecutors(executors, simulation.now()));
      announces_leaving = false;
      simulation.Advance(100);
      CHECK(simulation.sent_to(kFaultyExecutor) > before);
    }
    SUBCASE("until a probe is answered without the notice") {
      announces_leaving = false;
      simulation.Advance(12000);
      CHECK(simulation.sent_to(kFaultyExecutor) > before);
    }
  }
}

TEST_CASE("a full upstream is not tried again at once") {
  Simulation simulation(4, {MakeAccount("a")}, [&](const SendAttempt& send) {
    return send.executor == kFaultyExecutor
               ? Reaction{AttemptOutcome::kRefusedNotRun, 1, false}
               : Reaction{};
  });
  simulation.SetArrivalRate("a", 2);
  simulation.Advance(1000);
  CHECK(simulation.answered() > 1900);
  CHECK(simulation.sent_to(kFaultyExecutor) < 300);
}

TEST_CASE("a flood does not use another account's guaranteed slots") {
  // By weight alone the account "guaranteed" would get 4 of the 40 slots.
  Simulation simulation(
      5, {MakeAccount("flood", 0, 10.0), MakeAccount("guaranteed", 20)},
      [](const SendAttempt&) { return Reaction{}; });
  // Five times the rate that 40 slots of 10 ms can serve.
  simulation.SetArrivalRate("flood", 20);
  simulation.Advance(500);
  simulation.SetArrivalRate("guaranteed", 4);
  simulation.Advance(50);
  int least = 1000;
  for (int i = 0; i < 200; ++i) {
    simulation.Advance(1);
    for (const AccountDemand& demand : simulation.router().demand().accounts) {
      if (demand.account == "guaranteed") {
        least = std::min(least, demand.in_flight);
      }
    }
  }
  CHECK(least >= 20);
}

}  // namespace
}  // namespace thornplank
