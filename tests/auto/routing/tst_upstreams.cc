// Upstreams that fail, vanish, are full or leave, and what the router makes of
// them; accounts that flood.
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

const std::string kBad = "executor-100";
constexpr int kLatencyMs = 10;

// What an executor does with a request.
struct Reaction {
  AttemptOutcome outcome = AttemptOutcome::kAnswered;
  int latency_ms = kLatencyMs;
  bool leaving = false;
};

// Runs requests through a router for some virtual time.
class Run {
 public:
  using Behaviour = std::function<Reaction(const SendAttempt&)>;

  Run(int executors, std::vector<AccountLimits> accounts, Behaviour behaviour)
      : router_(RouterOptions{}), behaviour_(std::move(behaviour)) {
    router_.SetAccountLimits(accounts, now_);
    router_.SetExecutors(MakeExecutors(executors), now_);
    router_.SetLiveEntries("entry-1", {}, now_);
  }

  // Each millisecond `per_ms` requests of the account arrive.
  void Arrivals(const std::string& account, int per_ms) {
    arrivals_[account] = per_ms;
  }

  void Advance(int ms) {
    for (int i = 0; i < ms; ++i) {
      now_ += milliseconds(1);
      while (!ends_.empty() && ends_.begin()->first <= now_) {
        const auto [attempt, reaction] = ends_.begin()->second;
        ends_.erase(ends_.begin());
        Carry(router_.CompleteAttempt(
            attempt.request_id, attempt.executor,
            MakeResult(reaction.outcome, reaction.latency_ms, reaction.leaving),
            now_));
      }
      Carry(router_.Tick(now_));
      for (const auto& [account, per_ms] : arrivals_) {
        for (int k = 0; k < per_ms; ++k) {
          Carry(router_.Submit(MakeRequest("r" + std::to_string(++number_),
                                           account, now_ + seconds(1)),
                               now_));
        }
      }
    }
  }

  RequestRouter& router() { return router_; }
  Time now() const { return now_; }
  int sent_to(const std::string& executor) { return sent_[executor]; }
  int taken_out(const std::string& executor) { return taken_out_[executor]; }
  size_t executors_taken_out() const { return taken_out_.size(); }
  int back() const { return back_; }
  int answered() const { return answered_; }

  void Carry(const RoutingActions& actions) {
    for (const RoutingAction& action : actions) {
      if (const auto* send = std::get_if<SendAttempt>(&action)) {
        ++sent_[send->executor];
        const Reaction reaction = behaviour_(*send);
        const Time end = now_ + milliseconds(reaction.latency_ms);
        ends_.emplace(std::min(end, send->attempt_deadline),
                      std::make_pair(*send, reaction));
      } else if (const auto* taken = std::get_if<ExecutorEjected>(&action)) {
        ++taken_out_[taken->executor];
      } else if (std::holds_alternative<ExecutorReinstated>(action)) {
        ++back_;
      } else if (std::holds_alternative<FinishAnswered>(action)) {
        ++answered_;
      } else if (const auto* probe = std::get_if<ProbeExecutor>(&action)) {
        probes_.push_back(probe->executor);
      }
    }
    while (!probes_.empty()) {
      const std::string executor = probes_.front();
      probes_.pop_front();
      Carry(router_.HandleProbeResult(
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
  std::map<std::string, int> taken_out_;
  int back_ = 0;
  int answered_ = 0;
};

TEST_CASE("a bad upstream among good ones draws few requests") {
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
    Run run(10, {MakeAccount("a")}, [&](const SendAttempt& send) {
      return send.executor == kBad ? row.reaction : Reaction{};
    });
    run.Arrivals("a", 2);
    run.Advance(4000);
    MESSAGE(row.name, ": ", run.sent_to(kBad), " of 8000 requests");
    CHECK(run.taken_out(kBad) >= 1);
    CHECK(run.sent_to(kBad) < 150);
    CHECK(run.sent_to("executor-105") > 500);
    CHECK(run.executors_taken_out() == 1);
  }
}

TEST_CASE("an upstream that is mended comes back") {
  bool mended = false;
  Run run(10, {MakeAccount("a")}, [&](const SendAttempt& send) {
    return send.executor == kBad && !mended
               ? Reaction{AttemptOutcome::kFailed, 1, false}
               : Reaction{};
  });
  run.Arrivals("a", 2);
  run.Advance(500);
  mended = true;
  run.Advance(3000);
  const int before = run.sent_to(kBad);
  run.Advance(2000);
  CHECK(run.back() >= 1);
  CHECK(run.sent_to(kBad) - before > 200);
}

TEST_CASE("when many fail, enough stay in rotation") {
  struct Row {
    std::string name;
    int bad;
    Reaction reaction;
    size_t most_out;
  };
  const Row rows[] = {
      {"all fail", 10, {AttemptOutcome::kFailed, 1, false}, 5},
      {"six of ten fail", 6, {AttemptOutcome::kFailed, 1, false}, 5},
      {"four of ten are slow", 4, {AttemptOutcome::kAnswered, 200, false}, 2},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    Run run(10, {MakeAccount("a")}, [&](const SendAttempt& send) {
      return send.executor < MakeExecutor(row.bad).name ? row.reaction
                                                        : Reaction{};
    });
    run.Arrivals("a", 2);
    run.Advance(900);
    CHECK(run.executors_taken_out() <= row.most_out);
  }
}

TEST_CASE("one account's failing requests take no executor out") {
  Run run(10, {MakeAccount("bad"), MakeAccount("good")},
          [&](const SendAttempt& send) {
            // Requests are numbered; every third one is of the bad account.
            const int number = std::stoi(send.request_id.substr(1));
            return number % 3 == 1 ? Reaction{AttemptOutcome::kFailed, 1, false}
                                   : Reaction{};
          });
  run.Arrivals("bad", 1);
  run.Arrivals("good", 2);
  run.Advance(3000);
  CHECK(run.answered() > 8000);
  CHECK(run.executors_taken_out() == 0);
}

TEST_CASE("an upstream that is leaving gets nothing new") {
  std::vector<ExecutorInfo> executors = MakeExecutors(4);
  bool says = false;
  Run run(4, {MakeAccount("a")}, [&](const SendAttempt& send) {
    Reaction reaction;
    reaction.leaving = says && send.executor == kBad;
    return reaction;
  });
  run.Arrivals("a", 1);
  run.Advance(100);
  SUBCASE("when the list says so") {
    executors[0].leaving = true;
    run.Carry(run.router().SetExecutors(executors, run.now()));
    const int before = run.sent_to(kBad);
    run.Advance(500);
    CHECK(run.sent_to(kBad) == before);
  }
  SUBCASE("when it says so itself, whatever the list says") {
    says = true;
    run.Advance(50);
    const int before = run.sent_to(kBad);
    run.Carry(run.router().SetExecutors(executors, run.now()));
    run.Advance(500);
    executors[0].leaving = true;
    run.Carry(run.router().SetExecutors(executors, run.now()));
    executors[0].leaving = false;
    run.Carry(run.router().SetExecutors(executors, run.now()));
    run.Advance(500);
    CHECK(run.sent_to(kBad) == before);
    SUBCASE("until another takes its name") {
      executors[0].address = "127.0.0.1:9999";
      run.Carry(run.router().SetExecutors(executors, run.now()));
      says = false;
      run.Advance(100);
      CHECK(run.sent_to(kBad) > before);
    }
    SUBCASE("until a probe is answered without the sign") {
      says = false;
      run.Advance(12000);
      CHECK(run.sent_to(kBad) > before);
    }
  }
}

TEST_CASE("a full upstream is not asked again at once") {
  Run run(4, {MakeAccount("a")}, [&](const SendAttempt& send) {
    return send.executor == kBad
               ? Reaction{AttemptOutcome::kRefusedNotRun, 1, false}
               : Reaction{};
  });
  run.Arrivals("a", 2);
  run.Advance(1000);
  CHECK(run.answered() > 1900);
  CHECK(run.sent_to(kBad) < 300);
}

TEST_CASE("a flood does not take a neighbour's guaranteed slots") {
  // By weight alone the neighbour would get 4 of the 40 slots.
  Run run(5, {MakeAccount("flood", 0, 10.0), MakeAccount("guaranteed", 20)},
          [](const SendAttempt&) { return Reaction{}; });
  run.Arrivals("flood", 20);  // five times what 40 slots of 10 ms can do
  run.Advance(500);
  run.Arrivals("guaranteed", 4);
  run.Advance(50);
  int least = 1000;
  for (int i = 0; i < 200; ++i) {
    run.Advance(1);
    for (const AccountDemand& demand : run.router().demand().accounts) {
      if (demand.account == "guaranteed") {
        least = std::min(least, demand.in_flight);
      }
    }
  }
  CHECK(least >= 20);
}

}  // namespace
}  // namespace thornplank
